/**
 * The life of a serving process: its phases from start to end, the limits it derives from its memory, its share of the
 * gateway's allowances during a hot restart, and the detection of a stalled event loop.
 *
 * <p>Computes from times and settings alone; may not use sockets, files, threads or a clock. Start reading at
 * {@link petrelstand.lifecycle.Lifecycle}.
 */
package petrelstand.lifecycle;
