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
 * Reads one array of CBOR (RFC 8949) token by token through Jackson, so that nothing is built that the form does not
 * have. Whatever else comes is one IOException that says where.
 */
public final class CborReader implements Closeable {
    private static final CBORFactory FACTORY = new CBORFactory();

    /** Reads one entry of a list. */
    public interface EntryReader<T> {
        T read() throws IOException;
    }

    private final CBORParser parser;

    public CborReader(byte[] content) throws IOException {
        parser = FACTORY.createParser(content);
    }

    public void expect(JsonToken expected) throws IOException {
        JsonToken token = parser.nextToken();
        if (token != expected) {
            throw new IOException(token + " where " + expected + " is wanted, byte "
                    + parser.currentTokenLocation().getByteOffset());
        }
    }

    /** A number of 64 bits. */
    public long readLong() throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT);
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            throw new IOException("a number of more than 64 bits");
        }
        return parser.getLongValue();
    }

    /** A number of 32 bits that is not negative. */
    public int readNonNegativeInt() throws IOException {
        long value = readLong();
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new IOException("a count of " + value);
        }
        return (int) value;
    }

    public String readText(int maxLength) throws IOException {
        expect(JsonToken.VALUE_STRING);
        if (parser.getTextLength() > maxLength) {
            throw new IOException("a text of more than " + maxLength + " characters");
        }
        return parser.getText();
    }

    public boolean readBoolean() throws IOException {
        JsonToken token = parser.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IOException(token + " where true or false is wanted");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    public byte[] readBytes(int maxLength) throws IOException {
        expect(JsonToken.VALUE_EMBEDDED_OBJECT);
        byte[] bytes = parser.getBinaryValue();
        if (bytes.length > maxLength) {
            throw new IOException("more than " + maxLength + " bytes");
        }
        return bytes;
    }

    /** An array of arrays; each entry is read between its brackets. */
    public <T> List<T> readList(int maxEntries, EntryReader<T> entryReader) throws IOException {
        List<T> list = new ArrayList<>();
        expect(JsonToken.START_ARRAY);
        while (parser.nextToken() == JsonToken.START_ARRAY) {
            if (list.size() == maxEntries) {
                throw new IOException("more than " + maxEntries + " entries");
            }
            list.add(entryReader.read());
            expect(JsonToken.END_ARRAY);
        }
        if (parser.currentToken() != JsonToken.END_ARRAY) {
            throw new IOException("an entry is a list");
        }
        return list;
    }

    /** An array of texts. */
    public List<String> readTexts(int maxEntries, int maxLength) throws IOException {
        List<String> list = new ArrayList<>();
        expect(JsonToken.START_ARRAY);
        while (parser.nextToken() == JsonToken.VALUE_STRING) {
            if (list.size() == maxEntries || parser.getTextLength() > maxLength) {
                throw new IOException("more texts than " + maxEntries + ", or one longer than " + maxLength);
            }
            list.add(parser.getText());
        }
        if (parser.currentToken() != JsonToken.END_ARRAY) {
            throw new IOException("an entry is a text");
        }
        return list;
    }

    /** Nothing may follow. */
    public void expectEnd() throws IOException {
        if (parser.nextToken() != null) {
            throw new IOException("more than a message");
        }
    }

    @Override
    public void close() throws IOException {
        parser.close();
    }
}
