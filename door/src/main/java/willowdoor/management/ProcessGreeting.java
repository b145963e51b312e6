package willowdoor.management;

/**
 * What a process of a front door says of itself to the other one.
 *
 * @param address its management address
 * @param serves whether it takes clients
 * @param processId its own identity, as a later process may have the same address; empty from a version that
 *     tells none
 * @param listen the address at which the front door listens, by which processes of another front door are
 *     told; empty from a version that tells none
 */
public record ProcessGreeting(String address, boolean serves, String processId, String listen) { }
