"""The settings change to a bound that is a fraction, and a process that starts again does not start."""

import asyncio
import os
import re
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-2"))

import standins  # noqa: E402
from standins import Instance, ModelServer, config, now, run_case  # noqa: E402

GRACE_BEFORE, GRACE_AFTER = 8, 8.5
RESTARTS = 3
BOUNDS = {"quota_window_s": 5, "quota_slack": 20, "grace_s": GRACE_BEFORE, "config_apply_ms": 2000,
          "evac_ms": 5000}


def look_up(fields, name):
    if name == ".":
        return fields["."]
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(text, fields):
    """The placeholders and sections of DEPLOY.md, as far as the template uses them."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        sign, name, inner = match.groups()
        value = look_up(fields, name)
        if sign == "^":
            return "" if value else render(inner, fields)
        if not value:
            return ""
        entries = value if isinstance(value, list) else [value]
        parts = []
        for index, entry in enumerate(entries):
            comma = "," if index + 1 < len(entries) else ""
            parts.append(render(inner.replace("{{,}}", comma), {**fields, ".": entry}))
        return "".join(parts)

    text = section.sub(expand, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(fields, match[1])), text)


class RenderedInstance(Instance):
    """An instance whose settings are rendered from the deploy file's template."""

    def write_settings(self):
        with open(os.path.join(standins.ROOT, "deploy", "instance.toml.template"),
                  encoding="utf-8") as file:
            template = file.read()
        address = "127.0.0.1:"
        listen = {}
        if self.is_front:
            listen = {"front": address + str(self.front), "ready": address + str(self.ready),
                      "control": address + str(self.peers)}
        fronts = [each for each in self.fleet.instances if each.is_front]
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": "127.0.0.1", "listen": listen,
            "port_range": [self.peers, self.metrics],
            "limits": {"memory_mb": 260 if self.is_front else 280},
            "seeds": [address + str(each.peers) for each in fronts[:3]],
            "platform": {"address": address + str(self.store_port), "value_bytes": 1048576},
            "bounds": BOUNDS,
        }
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        return path


async def case(fleet, client, has_trouble, record):
    for each in fleet.instances:
        each.__class__ = RenderedInstance
    fleet.servers = [ModelServer(fleet.store, record, f"i-{zone}", "lm", zone)
                     for zone in fleet.ZONES]
    await fleet.start(config(1, "lm"))
    if has_trouble:
        BOUNDS["grace_s"] = GRACE_AFTER
        record(f"the settings change: grace_s = {GRACE_AFTER}")
    for each in fleet.instances:
        each.write_settings()
        each.signal(signal.SIGHUP)
    await asyncio.sleep(1)
    # One process is killed, and started again after a short delay as often as it exits.
    front = fleet.fronts()[0]
    front.signal(signal.SIGKILL)
    await front.process.wait()
    ends = 0
    for _ in range(RESTARTS):
        await asyncio.sleep(0.7)
        await front.start()
        try:
            code = await asyncio.wait_for(front.process.wait(), 5)
        except asyncio.TimeoutError:
            break
        ends += 1
        record(f"{front.name} has ended by itself with {code}")
    with open(os.path.join(fleet.folder, front.name + ".log"), encoding="utf-8") as file:
        last = file.read().strip().splitlines()[-1]
    record(f"the last line that {front.name} wrote: {last}")
    is_ready = await front.is_ready()
    print(f"{front.name}: {ends} of {RESTARTS} starts ended by themselves, "
          f"{'ready' if is_ready else 'not ready'}; at {now():.0f} s")
    return 1 if ends == RESTARTS and not is_ready else 0


sys.exit(run_case(HERE, case))
