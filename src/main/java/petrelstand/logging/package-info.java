/**
 * Log lines in JSON, the alternative to the plain text form. This is the only package that uses Logback, and it uses no
 * other package of the gateway. Start reading at {@link petrelstand.logging.JsonLog}.
 */
package petrelstand.logging;
