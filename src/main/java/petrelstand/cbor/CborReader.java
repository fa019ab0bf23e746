package petrelstand.cbor;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a CBOR (RFC 8949) document token by token, in the order that the caller expects. No object tree is built, and
 * the caller bounds texts, byte strings and lists. Every read method throws an {@link IOException} if the next token
 * has another type or exceeds its bound.
 */
public final class CborReader implements Closeable {
    private static final CBORFactory FACTORY = new CBORFactory();

    /** Reads the fields of one list entry. */
    public interface EntryReader<T> {
        T read() throws IOException;
    }

    private final CBORParser parser;

    public CborReader(byte[] content) throws IOException {
        parser = FACTORY.createParser(content);
    }

    /** Consumes the next token, which must be of the given type. */
    public void expect(JsonToken expected) throws IOException {
        JsonToken token = parser.nextToken();
        if (token != expected) {
            throw new IOException(token + " found where " + expected + " was expected, at byte "
                    + parser.currentTokenLocation().getByteOffset());
        }
    }

    /** Reads an integer of at most 64 bits. */
    public long readLong() throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT);
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            throw new IOException("integer does not fit in 64 bits");
        }
        return parser.getLongValue();
    }

    /** Reads an integer from 0 to {@link Integer#MAX_VALUE}. */
    public int readNonNegativeInt() throws IOException {
        long value = readLong();
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new IOException("integer is not in the range from 0 to 2^31 - 1: " + value);
        }
        return (int) value;
    }

    /** Reads a text string of at most the given number of characters. */
    public String readText(int maxLength) throws IOException {
        expect(JsonToken.VALUE_STRING);
        if (parser.getTextLength() > maxLength) {
            throw new IOException("text is longer than " + maxLength + " characters");
        }
        return parser.getText();
    }

    public boolean readBoolean() throws IOException {
        JsonToken token = parser.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IOException(token + " found where a boolean was expected");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a byte string of at most the given length. */
    public byte[] readBytes(int maxLength) throws IOException {
        expect(JsonToken.VALUE_EMBEDDED_OBJECT);
        byte[] bytes = parser.getBinaryValue();
        if (bytes.length > maxLength) {
            throw new IOException("byte string is longer than " + maxLength + " bytes");
        }
        return bytes;
    }

    /**
     * Reads an array of arrays.
     *
     * @param entryReader reads the fields of one inner array; the array's start and end are read here
     */
    public <T> List<T> readList(int maxEntries, EntryReader<T> entryReader) throws IOException {
        List<T> list = new ArrayList<>();
        expect(JsonToken.START_ARRAY);
        while (parser.nextToken() == JsonToken.START_ARRAY) {
            if (list.size() == maxEntries) {
                throw new IOException("list has more than " + maxEntries + " entries");
            }
            list.add(entryReader.read());
            expect(JsonToken.END_ARRAY);
        }
        if (parser.currentToken() != JsonToken.END_ARRAY) {
            throw new IOException("list entry is not an array");
        }
        return list;
    }

    /** Reads an array of text strings, each of at most {@code maxLength} characters. */
    public List<String> readTexts(int maxEntries, int maxLength) throws IOException {
        List<String> list = new ArrayList<>();
        expect(JsonToken.START_ARRAY);
        while (parser.nextToken() == JsonToken.VALUE_STRING) {
            if (list.size() == maxEntries || parser.getTextLength() > maxLength) {
                throw new IOException("list has more texts than " + maxEntries + " or a text longer than " + maxLength);
            }
            list.add(parser.getText());
        }
        if (parser.currentToken() != JsonToken.END_ARRAY) {
            throw new IOException("list entry is not a text string");
        }
        return list;
    }

    /** Checks that the input ends here. */
    public void expectEnd() throws IOException {
        if (parser.nextToken() != null) {
            throw new IOException("unexpected data after the end of the CBOR document");
        }
    }

    @Override
    public void close() throws IOException {
        parser.close();
    }
}
