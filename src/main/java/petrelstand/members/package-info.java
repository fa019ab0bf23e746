/**
 * SWIM-like membership protocol: which gateways are up and which have failed, as each gateway sees it.
 *
 * <p>The package does no I/O, reads no clock, starts no thread and uses no other package of the gateway; {@code fleet}
 * runs it over UDP, and the laboratory runs it in virtual time. Begin reading with
 * {@link petrelstand.members.Membership}, then {@link petrelstand.members.FailureDetector} and
 * {@link petrelstand.members.Suspicion}.
 */
package petrelstand.members;
