"""Which leases have run out, and when not to believe it. Pure: times are ns of one monotonic clock, handed
in.

Renewals are known to the primary alone; one that becomes primary gives each a whole lease anew. A lease that
has run out makes its server suspect, and after as long again gone. The brake: when more than a part of all
leased servers would be suspect or gone at once, it is more likely the service that is cut off or stood still;
nothing is taken out until enough have renewed again."""

from dataclasses import dataclass, field

from applehub.registry.entries import Entry

SECOND = 1_000_000_000
MILLI = 1_000_000
STOOD_STILL = SECOND  # a gap between looks over which this process did not run: nobody could renew


@dataclass(slots=True)
class Leases:
    """The lease watch of the primary."""

    brake_part: float  # of all leased servers
    brake_least: int  # and at least so many: below, none is too many
    renewed: dict[str, int] = field(default_factory=dict)
    looked: int = 0
    braked: bool = False

    def begin(self, now: int, entries: dict[str, Entry]) -> None:
        """This replica is primary from now on."""
        self.renewed = {uid: now for uid, one in entries.items() if one.lease_ms}
        self.looked, self.braked = now, False

    def renew(self, now: int, uid: str) -> None:
        self.renewed[uid] = now

    def look(self, now: int, entries: dict[str, Entry]) -> tuple[list[str], list[str], list[str]]:
        """Gives those that are to be suspect, those to be gone, and suspects that have renewed."""
        if now - self.looked > STOOD_STILL:
            lost = now - self.looked
            self.renewed = {uid: at + lost for uid, at in self.renewed.items()}
        self.looked = now
        leased = [one for one in entries.values() if one.lease_ms and one.state != "Gone"]
        self.renewed = {one.uid: self.renewed.get(one.uid, now) for one in leased}
        late = [one for one in leased if now - self.renewed[one.uid] > one.lease_ms * MILLI]
        back = [one.uid for one in leased if one.suspect and one not in late]
        self.braked = len(late) > max(self.brake_least, self.brake_part * len(leased))
        if self.braked:
            return [], [], back
        suspect = [one.uid for one in late if not one.suspect]
        gone = [
            one.uid for one in late if one.suspect and now - self.renewed[one.uid] > 2 * one.lease_ms * MILLI
        ]
        return suspect, gone, back
