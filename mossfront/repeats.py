"""When a message may be sent again, and whether its client may hand it in again.

An attempt is in doubt if it may have run. What a repeat does depends on the message's effect: a safe message
may be repeated at any time, an unsafe one never, and a keyed one while the endpoints know its key. Where keys
are known by zone, a keyed one may be repeated only in the zone of its first attempt in doubt.
"""

from __future__ import annotations

from mossfront.interface import Effect, GiveUpReason
from mossfront.state import Message

# us by which a retry may be sent behind the deadline of the message that it repeats. Its relay counts the
# time left from when it read the request: at most the client's wait for the answer (400 ms) later. It may be
# held up between reading its clock and sending (150 ms), and limits have a slack on sockets (50 ms).
MAX_RETRY_DELAY_US = 600_000


def required_zone(message: Message) -> str | None:
    """Return the zone that a message is bound to, or None.

    A repeat of an in-doubt message whose key is known per zone is dropped only in the zone of its attempt.
    """
    zone_bound = (
        message.in_doubt_since_us >= 0 and message.cls.effect is Effect.KEYED and message.cls.scope_is_zone
    )
    return message.in_doubt_zone if zone_bound else None


def key_known_until_us(message: Message, round_us: int) -> int:
    """Return until when endpoints know the key of an in-doubt message, so that they drop a repeat.

    ``round_us``: how long after its decision a call may begin.
    """
    return message.in_doubt_since_us + message.cls.window_us - round_us


def is_client_retry_harmless(message: Message, round_us: int) -> bool:
    """Return whether a retry by the client repeats no effect, whichever relay gets it and whenever it does.

    Relays share nothing. The one that gets the retry, which may be this one after a restart, knows of no
    attempt made here and may hold the message until its deadline, which a retry does not extend. So the key
    of a message in doubt has to be known until then.
    """
    if message.in_doubt_since_us < 0 or message.cls.effect is Effect.SAFE:
        return True
    if message.cls.effect is Effect.UNSAFE or message.cls.scope_is_zone:
        return False
    return key_known_until_us(message, round_us) >= message.deadline_us + MAX_RETRY_DELAY_US


def expiry_reason(message: Message, now_us: int, round_us: int) -> GiveUpReason:
    """Return why no further call is made for an expired message."""
    if message.attempts >= message.max_attempts:
        return GiveUpReason.NO_ATTEMPTS_LEFT
    if message.in_doubt_since_us < 0 or message.cls.effect is Effect.SAFE:
        return GiveUpReason.NO_TIME
    if message.cls.effect is Effect.UNSAFE:
        return GiveUpReason.NOT_REPEATABLE
    key_expired = key_known_until_us(message, round_us) <= now_us
    return GiveUpReason.KEY_EXPIRED if key_expired else GiveUpReason.NO_TIME
