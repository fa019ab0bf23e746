/**
 * Presents the latency statistics of {@code accounts}: as JSON and metrics of the running gateway, and as text, JSON
 * and an HTML page from recorded files. It attributes nothing itself. Start reading at
 * {@link petrelstand.report.AccountsPage} for the running gateway and {@link petrelstand.report.WaitReport} for
 * recorded files.
 */
package petrelstand.report;
