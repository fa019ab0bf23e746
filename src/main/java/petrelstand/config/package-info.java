/**
 * Configuration: the gateway's JSON file with the settings of the decision module, the operator's INI file, the files
 * that it names, and node lists. Reading has no effect but opening files and, in {@code OperatorConfig}, a thread that
 * polls them for changes. Every error names the file and the line or field. It knows the records that it fills, not the
 * components that use them. Start reading at {@link petrelstand.config.GatewayConfig}, then
 * {@link petrelstand.config.OperatorConfig}.
 */
package petrelstand.config;
