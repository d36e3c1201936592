"""Message classes of the internal protocol, loaded from the IDL at import.

``thriftpy2`` builds the classes at run time, so no code generator is needed.
The numbers of message types are part of the protocol and are never reused.
"""

from __future__ import annotations

from importlib import resources
from typing import Any, Final

import thriftpy2

_IDL = resources.files("gooseberrypost.wire") / "gooseberrypost.thrift"

idl: Any = thriftpy2.load(str(_IDL), module_name="gooseberrypost_thrift")
"""Module that holds every struct and enum of the IDL."""

Message = Any
"""Instance of one of the struct classes in ``TYPE_NUMBERS``."""

TYPE_NUMBERS: Final[dict[type, int]] = {
    idl.Hello: 1,
    idl.Heartbeat: 2,
    idl.Ok: 3,
    idl.Refused: 4,
    idl.Probe: 10,
    idl.ProbeReply: 11,
    idl.Reserve: 12,
    idl.Reserved: 13,
    idl.ReleaseReservation: 14,
    idl.Prefill: 15,
    idl.Prefilled: 16,
    idl.ReleasePrefill: 17,
    idl.Decode: 18,
    idl.Token: 19,
    idl.End: 20,
    idl.Reattach: 21,
    idl.Call: 22,
    idl.CallReply: 23,
    idl.Cancel: 24,
    idl.Revoke: 25,
    idl.Revoked: 26,
    idl.Order: 27,
    idl.Drain: 28,
    idl.StatusRequest: 29,
    idl.Status: 30,
    idl.Explain: 31,
    idl.Explanation: 32,
    idl.Mint: 40,
    idl.Minted: 41,
    idl.Claim: 42,
    idl.ClaimReply: 43,
    idl.Renew: 44,
    idl.Complete: 45,
    idl.Abandon: 46,
    idl.CrashReport: 47,
    idl.ConfigPull: 60,
    idl.ConfigDelta: 61,
    idl.LoadNotice: 70,
}

TYPES_BY_NUMBER: Final[dict[int, type]] = {
    n: cls for cls, n in TYPE_NUMBERS.items()
}
