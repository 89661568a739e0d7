"""Configuration: fold of published patches and its spread."""

from lentilspool.config._document import Document as Document
from lentilspool.config._document import FencingMode as FencingMode
from lentilspool.config._document import PipelineDocument as PipelineDocument
from lentilspool.config._document import PolicyDocument as PolicyDocument
from lentilspool.config._document import PoolDocument as PoolDocument
from lentilspool.config._document import PoolKind as PoolKind
from lentilspool.config._document import ProviderDocument as ProviderDocument
from lentilspool.config._document import StageDocument as StageDocument
from lentilspool.config._document import TeamDocument as TeamDocument
