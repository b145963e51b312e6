package willowdoor.membership;

import java.util.List;
import willowdoor.policy.GatewayApi.BackendEntry;

/** What a {@link Membership} is told. */
public sealed interface MembershipEvent {

  /**
   * A source of the list tells it, or what has changed in it.
   *
   * @param full whether what is not named is gone
   */
  record Listed(boolean full, List<BackendEntry> entries) implements MembershipEvent { }

  /** An operator takes a backend out. */
  record TakeOut(long id) implements MembershipEvent { }

  /** An operator puts a backend back, however often it was taken out. */
  record PutBack(long id) implements MembershipEvent { }

  /** By what the fleet has agreed on a backend is out, whether the lists name it or not. */
  record FleetTakeOut(long id) implements MembershipEvent { }

  /** What the fleet has agreed on no longer holds the backend out; an operator's word here may. */
  record FleetPutBack(long id) implements MembershipEvent { }

  /** What another process of the same front door knows of backends that are out. */
  record Inherited(List<DisabledBackend> disabled) implements MembershipEvent { }
}
