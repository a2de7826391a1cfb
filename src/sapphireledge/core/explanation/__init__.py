"""What an instance says about where a request would go now."""

from sapphireledge.core.explanation.chance import Chance
from sapphireledge.core.explanation.check import Check
from sapphireledge.core.explanation.explained_outcome import ExplainedOutcome
from sapphireledge.core.explanation.explained_server import ExplainedServer, ServerRole
from sapphireledge.core.explanation.explanation import Explanation
from sapphireledge.core.explanation.question import Question

__all__ = [
    "Chance",
    "Check",
    "ExplainedOutcome",
    "ExplainedServer",
    "Explanation",
    "Question",
    "ServerRole",
]
