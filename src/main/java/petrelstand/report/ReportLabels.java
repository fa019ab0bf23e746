package petrelstand.report;

import java.util.List;
import java.util.Locale;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyHistory;
import petrelstand.store.AccountsRecord.NameTable;

/** Formats identifiers, times and figures for a report, with the class and plan names stored in its record. */
final class ReportLabels {
    private final NameTable names;

    ReportLabels(NameTable names) {
        this.names = names;
    }

    private static String nameAt(List<String> nameList, int index, String kind) {
        return index >= 0 && index < nameList.size() ? nameList.get(index) : kind + " " + index;
    }

    String requestClass(int index) {
        return nameAt(names.classes(), index, "class");
    }

    String plan(int index) {
        return nameAt(names.plans(), index, "plan");
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

    String group(LatencyHistory.RequestGroup group) {
        return group.node() >= 0
                ? node(group.node())
                : group.requestClass() >= 0 ? requestClass(group.requestClass()) + ", " + plan(group.plan()) : "others";
    }

    static String formatMs(long us) {
        return String.format(Locale.ROOT, "%,.1f", us / 1000.0);
    }

    static String formatPercent(long part, long total) {
        return total <= 0 ? "-" : String.format(Locale.ROOT, "%.1f", 100.0 * part / total);
    }

    static String formatTime(long second) {
        return java.time.Instant.ofEpochSecond(second).toString();
    }
}
