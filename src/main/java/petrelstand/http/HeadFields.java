package petrelstand.http;

import java.util.Set;
import java.util.TreeSet;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Selects, as a head is parsed, the header fields that the gateway uses, and drops the others. A field is an object of
 * some 140 bytes even if its line has five, so that a head of short lines would take many times its bytes.
 */
public enum HeadFields {
    /** The fields of a client's or an operator's request. */
    REQUEST(
            Set.of(
                    HttpHeader.CONNECTION.asString(),
                    HttpHeader.CONTENT_LENGTH.asString(),
                    HttpHeader.EXPECT.asString(),
                    HttpHeader.TRANSFER_ENCODING.asString(),
                    HttpProtocol.TXN_HEADER,
                    HttpProtocol.PLAN_HEADER,
                    HttpProtocol.REMAINING_MS_HEADER,
                    HttpProtocol.PLACEMENT_HEADER,
                    HttpProtocol.RESENT_HEADER,
                    HttpProtocol.IDEMPOTENCY_KEY_HEADER),
            Set.of(HttpHeader.CONTENT_TYPE.asString())),
    /** The fields of an answer from a storage node or the discovery agent. */
    ANSWER(
            Set.of(
                    HttpHeader.CONNECTION.asString(),
                    HttpHeader.CONTENT_LENGTH.asString(),
                    HttpHeader.TRANSFER_ENCODING.asString(),
                    HttpProtocol.TURNED_AWAY_HEADER),
            Set.of(
                    HttpHeader.CONTENT_TYPE.asString(),
                    HttpProtocol.LOAD_HEADER,
                    HttpProtocol.VOLUME_USE_HEADER,
                    HttpProtocol.OTHER_GATEWAYS_UNITS_HEADER));

    /** Limit of the value of a field that is used. */
    static final int MAX_VALUE_LENGTH = 256;
    /** A message may be malformed because a field is repeated, and two show that. */
    private static final int MAX_OCCURRENCES = 2;

    private final Set<String> essential = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    private final Set<String> optional = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    /**
     * Creates a selection.
     *
     * @param essential names of fields on which the meaning of the message depends
     * @param optional names of fields that are as good as absent if their value is too long
     */
    HeadFields(Set<String> essential, Set<String> optional) {
        this.essential.addAll(essential);
        this.optional.addAll(optional);
    }

    /**
     * Adds a parsed field to those of its message, if it is used.
     *
     * @return false if the message can't be used, because the value of the field is longer than
     *     {@link #MAX_VALUE_LENGTH}
     */
    public boolean addIfUsed(HttpFields.Mutable fields, HttpField field) {
        boolean isEssential = essential.contains(field.getName());
        if (!isEssential && !optional.contains(field.getName())) {
            return true;
        }
        if (field.getValue() != null && field.getValue().length() > MAX_VALUE_LENGTH) {
            return !isEssential;
        }
        if (occurrences(fields, field) < MAX_OCCURRENCES) {
            fields.add(field);
        }
        return true;
    }

    private static int occurrences(HttpFields fields, HttpField field) {
        int count = 0;
        for (HttpField other : fields) {
            count += other.isSameName(field) ? 1 : 0;
        }
        return count;
    }
}
