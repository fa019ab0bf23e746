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
    private static final CBORFactory CBOR = new CBORFactory();

    /** Reads one entry of a list. */
    public interface EntryReader<T> {
        T read() throws IOException;
    }

    private final CBORParser from;

    public CborReader(byte[] content) throws IOException {
        from = CBOR.createParser(content);
    }

    public void expect(JsonToken wanted) throws IOException {
        JsonToken token = from.nextToken();
        if (token != wanted) {
            throw new IOException(token + " where " + wanted + " is wanted, byte "
                    + from.currentTokenLocation().getByteOffset());
        }
    }

    /** A number of 64 bits. */
    public long readLong() throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT);
        if (from.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            throw new IOException("a number of more than 64 bits");
        }
        return from.getLongValue();
    }

    /** A number of 32 bits that is not negative. */
    public int readNonNegativeInt() throws IOException {
        long value = readLong();
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new IOException("a count of " + value);
        }
        return (int) value;
    }

    public String readText(int most) throws IOException {
        expect(JsonToken.VALUE_STRING);
        if (from.getTextLength() > most) {
            throw new IOException("a text of more than " + most + " characters");
        }
        return from.getText();
    }

    public boolean readBoolean() throws IOException {
        JsonToken token = from.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IOException(token + " where true or false is wanted");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    public byte[] readBytes(int most) throws IOException {
        expect(JsonToken.VALUE_EMBEDDED_OBJECT);
        byte[] bytes = from.getBinaryValue();
        if (bytes.length > most) {
            throw new IOException("more than " + most + " bytes");
        }
        return bytes;
    }

    /** An array of arrays; each entry is read between its brackets. */
    public <T> List<T> readList(int most, EntryReader<T> entry) throws IOException {
        List<T> list = new ArrayList<>();
        expect(JsonToken.START_ARRAY);
        while (from.nextToken() == JsonToken.START_ARRAY) {
            if (list.size() == most) {
                throw new IOException("more than " + most + " entries");
            }
            list.add(entry.read());
            expect(JsonToken.END_ARRAY);
        }
        if (from.currentToken() != JsonToken.END_ARRAY) {
            throw new IOException("an entry is a list");
        }
        return list;
    }

    /** An array of texts. */
    public List<String> readTexts(int most, int mostLength) throws IOException {
        List<String> list = new ArrayList<>();
        expect(JsonToken.START_ARRAY);
        while (from.nextToken() == JsonToken.VALUE_STRING) {
            if (list.size() == most || from.getTextLength() > mostLength) {
                throw new IOException("more texts than " + most + ", or one longer than " + mostLength);
            }
            list.add(from.getText());
        }
        if (from.currentToken() != JsonToken.END_ARRAY) {
            throw new IOException("an entry is a text");
        }
        return list;
    }

    /** Nothing may follow. */
    public void expectEnd() throws IOException {
        if (from.nextToken() != null) {
            throw new IOException("more than a message");
        }
    }

    @Override
    public void close() throws IOException {
        from.close();
    }
}
