"""Load shedding: which plain requests are refused while their service is overloaded."""

from sapphireledge.core.shedding.divide_admission import divide_admission
from sapphireledge.core.shedding.load_shedder import LoadShedder
from sapphireledge.core.shedding.shed_request import ShedRequest
from sapphireledge.core.shedding.shedding_limits import SheddingLimits

__all__ = ["LoadShedder", "ShedRequest", "SheddingLimits", "divide_admission"]
