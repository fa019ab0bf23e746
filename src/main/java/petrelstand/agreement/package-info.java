/**
 * Agreement of a fleet's gateways on versions of the rules, and the leases under which a gateway may apply a version.
 *
 * <p>The package does no I/O, has no threads and reads no clock: messages and times come in, messages and decisions go
 * out. Begin with {@link petrelstand.agreement.LeaseTiming} and {@link petrelstand.agreement.LeaseGrantor}, the
 * leader's side; then {@link petrelstand.agreement.LeaseHolder}, a gateway's side, and
 * {@link petrelstand.agreement.RuleRegistry}, the state that the voters replicate.
 */
package petrelstand.agreement;
