package petrelstand.report;

import java.util.List;
import java.util.Locale;
import petrelstand.accounts.Book;
import petrelstand.accounts.Cause;
import petrelstand.store.AccountsRecord.NameTable;

/** What figures are called in the report, by the names that the record carries. */
final class Words {
    private final NameTable names;

    Words(NameTable names) {
        this.names = names;
    }

    private static String at(List<String> list, int place, String kind) {
        return place >= 0 && place < list.size() ? list.get(place) : kind + " " + place;
    }

    String requestClass(int place) {
        return at(names.classes(), place, "class");
    }

    String plan(int place) {
        return at(names.plans(), place, "plan");
    }

    static String node(long node) {
        return String.format("s-%08x", node);
    }

    static String volume(long volume) {
        return String.format("%016x", volume);
    }

    String waiter(long volume, int requestClass) {
        return volume(volume) + " " + requestClass(requestClass);
    }

    String cause(Cause cause) {
        return cause == null
                ? "-"
                : cause.kind() == Cause.Kind.WORK
                        ? waiter(cause.volume(), cause.requestClass())
                        : cause.kind().name().toLowerCase(Locale.ROOT);
    }

    String group(Book.Group group) {
        return group.node() >= 0
                ? node(group.node())
                : group.requestClass() >= 0 ? requestClass(group.requestClass()) + ", " + plan(group.plan()) : "others";
    }

    static String ms(long us) {
        return String.format(Locale.ROOT, "%,.1f", us / 1000.0);
    }

    static String percent(long part, long of) {
        return of <= 0 ? "-" : String.format(Locale.ROOT, "%.1f", 100.0 * part / of);
    }

    static String time(long second) {
        return java.time.Instant.ofEpochSecond(second).toString();
    }
}
