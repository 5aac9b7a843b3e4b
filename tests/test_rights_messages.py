import pytest

from sequoiahook.messages.base import Envelope
from sequoiahook.messages.rights import (
    Amount,
    GrantedLoan,
    HandedPart,
    HeldLoan,
    RightsAsk,
    RightsClaim,
    RightsGrant,
    RightsLeaving,
    RightsRefusal,
    RightsSettled,
    RightsSettledQuery,
    RightsYield,
    SettledNumber,
)
from sequoiahook.wire.codec import decode_envelope, encode_envelope

HELD = HeldLoan(2**62 - 1, Amount(1, 2, 3), Amount(0, 1, 2), True)
GRANTED = GrantedLoan(7, 1500, Amount(1, 2, 3), 4)


@pytest.mark.parametrize(
    "body",
    [
        RightsAsk("c", 1, 2**60, Amount(0, 5, 5), 6, 250, (HELD,)),
        RightsGrant("c", 2**60, (GRANTED, GRANTED), 8, True),
        RightsRefusal("c", 3, 500),
        RightsClaim(9, 1, ("a0", "a1")),
        RightsYield(
            9,
            False,
            4,
            1100,
            (HandedPart("c", Amount(1, 1, 1), 5),),
            (SettledNumber("c", 4),),
        ),
        RightsLeaving(3),
        RightsSettledQuery("c", 4),
        RightsSettled("c", "a", 4, False),
    ],
)
def test_messages_are_equal_after_encoding_and_decoding(body):
    envelope = Envelope("a0", 1, 2, "a1", body)
    assert decode_envelope(encode_envelope(envelope)) == envelope
