/**
 * Decides which settings hold after a configuration reload, while clients still follow the previous file.
 *
 * <p>Depends only on the settings types of the decision module; may not use files, sockets, threads or a clock. Start
 * reading at {@link petrelstand.retuning.SettingsTransition}.
 */
package petrelstand.retuning;
