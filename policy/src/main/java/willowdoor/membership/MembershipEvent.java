package willowdoor.membership;

import java.util.List;
import willowdoor.policy.GatewayApi.BackendEntry;

/** An event that {@link Membership} handles. */
public sealed interface MembershipEvent {

  /**
   * A source of the list has sent the whole list, or changes of it.
   *
   * @param full whether {@code entries} is the whole list, so that backends not named are gone
   */
  record Listed(boolean full, List<BackendEntry> entries) implements MembershipEvent { }

  /** An operator takes a backend out of service. */
  record TakeOut(long id) implements MembershipEvent { }

  /** An operator puts a backend back in service, however often it was taken out. */
  record PutBack(long id) implements MembershipEvent { }

  /** The fleet has taken a backend out of service, whether or not the lists name it. */
  record FleetTakeOut(long id) implements MembershipEvent { }

  /** The fleet has put a backend back; it stays out of service if an operator here took it out too. */
  record FleetPutBack(long id) implements MembershipEvent { }

  /** The backends that operators have taken out, as another process of the same front door knows them. */
  record Inherited(List<DisabledBackend> disabled) implements MembershipEvent { }
}
