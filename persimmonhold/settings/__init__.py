"""Reads and validates settings files."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.settings._caller_settings import CallerSettings
    from persimmonhold.settings._ini_reader import parse_ini, read_ini
    from persimmonhold.settings._log_settings import LogSettings
    from persimmonhold.settings._metrics_settings import MetricsSettings
    from persimmonhold.settings._operator_settings import OperatorSettings
    from persimmonhold.settings._peer_settings import PeerSettings
    from persimmonhold.settings._placement_settings import PlacementSettings
    from persimmonhold.settings._platform_settings import PlatformSettings
    from persimmonhold.settings._settings import Settings
    from persimmonhold.settings._standin_settings import (
        StandinSection,
        StandinSettings,
    )
    from persimmonhold.settings._tls_settings import TlsSettings
    from persimmonhold.settings._vm_settings import VmSettings

__all__ = (
    'CallerSettings',
    'LogSettings',
    'MetricsSettings',
    'OperatorSettings',
    'PeerSettings',
    'PlacementSettings',
    'PlatformSettings',
    'Settings',
    'StandinSection',
    'StandinSettings',
    'TlsSettings',
    'VmSettings',
    'parse_ini',
    'read_ini',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'CallerSettings': '_caller_settings',
            'LogSettings': '_log_settings',
            'MetricsSettings': '_metrics_settings',
            'OperatorSettings': '_operator_settings',
            'PeerSettings': '_peer_settings',
            'PlacementSettings': '_placement_settings',
            'PlatformSettings': '_platform_settings',
            'Settings': '_settings',
            'StandinSection': '_standin_settings',
            'StandinSettings': '_standin_settings',
            'TlsSettings': '_tls_settings',
            'VmSettings': '_vm_settings',
            'parse_ini': '_ini_reader',
            'read_ini': '_ini_reader',
        },
    )
