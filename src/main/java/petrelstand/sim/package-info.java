/**
 * Runs the decision module under the simulator: reads batches of events from a byte stream, hands them to the policies
 * of the simulated gateways and writes their actions back. It uses no network, threads or clock; the time comes with
 * each batch. Start reading at {@link petrelstand.sim.SimulatorHost}, then {@code SimulatorCodec}.
 */
package petrelstand.sim;
