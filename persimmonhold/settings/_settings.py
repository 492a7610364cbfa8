"""All settings of one process."""

from typing import final

import msgspec

from persimmonhold.settings._caller_settings import CallerSettings
from persimmonhold.settings._log_settings import LogSettings
from persimmonhold.settings._metrics_settings import MetricsSettings
from persimmonhold.settings._operator_settings import OperatorSettings
from persimmonhold.settings._peer_settings import PeerSettings
from persimmonhold.settings._placement_settings import PlacementSettings
from persimmonhold.settings._platform_settings import PlatformSettings
from persimmonhold.settings._tls_settings import TlsSettings
from persimmonhold.settings._vm_settings import VmSettings


@final
class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings file of a VM; each field is the section so named."""

    vm: VmSettings
    callers: CallerSettings = CallerSettings()
    operators: OperatorSettings = OperatorSettings()
    peers: PeerSettings = PeerSettings()
    placement: PlacementSettings = PlacementSettings()
    logs: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    tls: TlsSettings = TlsSettings()
    platform: PlatformSettings = PlatformSettings()
