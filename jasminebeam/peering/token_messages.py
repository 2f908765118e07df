"""Messages by which nodes share the rate limits of teams."""

from __future__ import annotations

import msgspec

from jasminebeam import inputs
from jasminebeam.peering import base


class TokenWant(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tokens of one team that a node asks for, in thousandths.

    Parameters
    ----------
    team : str
        Name of the team.
    needed : int
        Amount below which the node can start no request.
    wanted : int
        Amount that its demand needs.
    """

    team: str
    needed: inputs.Count
    wanted: inputs.Count


class TokenGrantPart(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tokens of one team that a coordinator grants, in thousandths.

    Parameters
    ----------
    team : str
        Name of the team.
    amount : int
        Granted amount; 0 if there is none.
    lifetime_ms : int
        Time for which the tokens may be used, counted from the request.
    wait_ms : int
        Time for which no further tokens can be expected; 0 if the request
        was granted in full.
    """

    team: str
    amount: inputs.Count
    lifetime_ms: inputs.Count
    wait_ms: inputs.Count


class TokenAmount(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tokens of one team to give, in thousandths, and what is left."""

    team: str
    amount: inputs.Count
    left: inputs.Count = 0


class TokenRequest(base.Message, tag=46):
    """Asks a coordinator for tokens of some teams.

    Parameters
    ----------
    number : int
        Number that the grants repeat; each is used once.
    node_id : str
        Name of the sending node.
    wants : tuple of TokenWant
        What the node asks for.
    """

    number: int
    node_id: str
    wants: tuple[TokenWant, ...]


class TokenGrant(base.Message, tag=47):
    """Answers `TokenRequest` for some or all of its teams."""

    number: int
    node_id: str
    parts: tuple[TokenGrantPart, ...]


class TokenCollection(base.Message, tag=48):
    """Asks a member for the surplus of its tokens of some teams.

    Parameters
    ----------
    number : int
        Number that the answer repeats; each is used once.
    node_id : str
        Name of the coordinator.
    amounts : tuple of TokenAmount
        The largest amounts that the coordinator needs.
    """

    number: int
    node_id: str
    amounts: tuple[TokenAmount, ...]


class TokenSurplus(base.Message, tag=49):
    """Answers `TokenCollection`: the member no longer has these tokens."""

    number: int
    node_id: str
    amounts: tuple[TokenAmount, ...]


TYPES = (TokenRequest, TokenGrant, TokenCollection, TokenSurplus)
