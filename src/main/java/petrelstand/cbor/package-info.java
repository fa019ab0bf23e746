/**
 * Shared reader of CBOR (RFC 8949) for messages and stored records.
 *
 * <p>Uses only Jackson's CBOR parser and no other package of the gateway; the layouts belong to the packages that
 * define them. Begin reading with {@link petrelstand.cbor.CborReader}.
 */
package petrelstand.cbor;
