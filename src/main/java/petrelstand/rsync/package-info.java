/**
 * A front for a subset of the rsync daemon protocol, version 29. It relays each session between one client and one
 * storage node, and parses both directions to know whether the transfer is complete.
 *
 * <p>May not change the bytes of a transfer, touch files, or choose nodes: the broker and the decision module do that.
 * Not thread-safe: all calls come from the event loop. Start reading at {@link petrelstand.rsync.RsyncFront}, then
 * {@code ClientSession}, {@code NodeSession} and {@code Transfer}, where the two meet.
 */
package petrelstand.rsync;
