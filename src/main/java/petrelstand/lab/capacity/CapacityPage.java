package petrelstand.lab.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import petrelstand.lab.capacity.fit.PowerLaw.Point;

/** The curves of an experiment as one HTML page that needs nothing else: plots as inline SVG, and the table. */
public final class CapacityPage {
    private static final int WIDTH = 340;
    private static final int HEIGHT = 200;
    private static final int MARGIN = 36;

    private final CapacityReport report;

    public CapacityPage(CapacityReport report) {
        this.report = report;
    }

    /** The page. */
    public String html() {
        String plots = report.curves().stream()
                .filter(curve -> curve.law().isPresent())
                .map(CapacityPage::plot)
                .collect(Collectors.joining("\n"));
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Capacity</title>\n"
                + "<style>body{font:14px sans-serif}figure{display:inline-block;margin:8px;width:" + WIDTH + "px}"
                + "figcaption{font-size:12px}pre{font-size:12px;overflow:auto}</style></head><body>\n"
                + "<h1>Cost a member</h1>\n<p>Both scales are logarithmic. Dots are measured, the line is fitted.</p>\n"
                + plots + "\n<pre>" + escape(report.table()) + "</pre>\n</body></html>\n";
    }

    private static String plot(Curve curve) {
        Frame frame = new Frame(curve.points());
        String box = "0 0 " + WIDTH + " " + HEIGHT;
        StringBuilder svg = new StringBuilder("<figure><svg viewBox=\"" + box + "\" role=\"img\">");
        svg.append(line(MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN, HEIGHT - MARGIN, "#888"));
        svg.append(line(MARGIN, MARGIN, MARGIN, HEIGHT - MARGIN, "#888"));
        svg.append(label(MARGIN, HEIGHT - MARGIN + 16, frame.leastX));
        svg.append(label(WIDTH - MARGIN - 20, HEIGHT - MARGIN + 16, frame.mostX));
        svg.append(label(2, HEIGHT - MARGIN, frame.leastY));
        svg.append(label(2, MARGIN, frame.mostY));
        double from = curve.law().orElseThrow().at(frame.leastX);
        double to = curve.law().orElseThrow().at(frame.mostX);
        svg.append(line(frame.x(frame.leastX), frame.y(from), frame.x(frame.mostX), frame.y(to), "#06c"));
        for (Point point : curve.points()) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\"/>",
                    frame.x(point.size()),
                    frame.y(point.cost())));
        }
        String exponent =
                String.format(Locale.ROOT, "exponent %.3f", curve.law().get().exponent());
        return svg + "</svg><figcaption>" + escape(curve.title()) + "; " + exponent + "</figcaption></figure>";
    }

    private static String line(double x1, double y1, double x2, double y2, String colour) {
        return String.format(
                Locale.ROOT,
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>",
                x1,
                y1,
                x2,
                y2,
                colour);
    }

    private static String label(int x, int y, double value) {
        return "<text x=\"" + x + "\" y=\"" + y + "\" font-size=\"10\">" + CapacityReport.number(value) + "</text>";
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    /** Maps sizes and costs to places in a plot. */
    private static final class Frame {
        final double leastX;
        final double mostX;
        final double leastY;
        final double mostY;

        Frame(List<Point> points) {
            leastX = points.stream().mapToDouble(Point::size).min().orElseThrow();
            mostX = points.stream().mapToDouble(Point::size).max().orElseThrow();
            // A constant cost lies in the middle.
            leastY = points.stream().mapToDouble(Point::cost).min().orElseThrow() / 1.5;
            mostY = points.stream().mapToDouble(Point::cost).max().orElseThrow() * 1.5;
        }

        double x(double size) {
            return MARGIN + part(size, leastX, mostX) * (WIDTH - 2 * MARGIN);
        }

        double y(double cost) {
            return HEIGHT - MARGIN - part(cost, leastY, mostY) * (HEIGHT - 2 * MARGIN);
        }

        private static double part(double value, double least, double most) {
            return Math.log(value / least) / Math.log(most / least);
        }
    }
}
