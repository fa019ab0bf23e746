/**
 * Assembles the gateway: {@link petrelstand.Gateway} creates the components of the other packages, connects them and
 * drives their start, reload, drain and end. The classes named {@code ...Part} hold optional features, whose classes
 * are loaded only if the configuration asks for them.
 *
 * <p>This package only wires: protocols, decisions and stored formats belong to the packages below, none of which may
 * use this one. Start reading at {@link petrelstand.Main}, then {@link petrelstand.Gateway}.
 */
package petrelstand;
