"""Log output: one sink for people or one of JSON lines."""

import sys

from loguru import logger


TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {name}: {message} {extra}"


def configure_logs(log_format: str = "text", level: str = "INFO") -> None:
    """Send the logs of this process to standard error.

    Usage::

        configure_logs("json", "INFO")

    :param log_format: ``"text"`` or ``"json"``.
    """
    logger.remove()
    if log_format == "json":
        logger.add(sys.stderr, level=level, serialize=True, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT, diagnose=False)
