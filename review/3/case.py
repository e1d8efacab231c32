"""A machine's connections to all upstreams are reset; its clients are lost."""

import asyncio
import itertools
import os
import pathlib

import http_stream
import small_site as site

FOLDER = pathlib.Path(__file__).resolve().parent
BOUNDS = {"config": "2500ms", "stableWindow": "4000ms", "grace": "6s"}
STABLE_WINDOW_S = 4.0
REGION_BY_ZONE = {
    "nigde-a": "ic-anadolu",
    "nevsehir-b": "ic-anadolu",
    "odemis-a": "ege",
    "bayindir-b": "ege",
}
KEY = "b9wu3fexd9dnn2ctnfzs"
TENANT = "kaje80"
CALM_S = 6.0
CUT_S = 14.0
REQUESTS_PER_S = 15.0


def find_local_ports(pid: int) -> set[int]:
    """Return the ports of a process's own ends of its TCP connections."""
    inodes = set()
    folder = pathlib.Path(f"/proc/{pid}/fd")
    for name in os.listdir(folder):
        try:
            link = os.readlink(folder / name)
        except OSError:
            continue
        if link.startswith("socket:["):
            inodes.add(link[8:-1])
    ports = set()
    table = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    for line in table:
        fields = line.split()
        if fields[9] in inodes:
            ports.add(int(fields[1].rpartition(":")[2], 16))
    return ports


class CuttableUpstream(site.Upstream):
    """An upstream behind a link that resets what comes from one machine."""

    cut_entry: site.Entry | None = None

    async def start(self) -> None:
        """Serve behind the link, and register its address."""
        self._link = await asyncio.start_server(
            self._relay_or_reset, "127.0.0.1", site.free_port()
        )
        await super().start()

    @property
    def address(self) -> str:
        """Address of the link."""
        return f"127.0.0.1:{self._link.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """End at once."""
        self._link.close()
        await super().stop()

    async def _relay_or_reset(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay a connection; reset it with the first bytes of a cut one."""
        port = writer.get_extra_info("peername")[1]
        host, _, upstream_port = self.endpoint.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(upstream_port))
        except OSError:
            writer.transport.abort()
            return
        answers = asyncio.create_task(copy(upstream[0], writer))
        try:
            while data := await reader.read(65536):
                entry = self.cut_entry
                if entry is not None and entry.process is not None:
                    if port in find_local_ports(entry.process.pid):
                        writer.transport.abort()
                        break
                upstream[1].write(data)
                await upstream[1].drain()
        except OSError:
            pass
        finally:
            answers.cancel()
            writer.close()
            upstream[1].close()


async def copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copy one direction of a connection until it ends."""
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    writer.close()


class Client:
    """Sends requests to the entries that the directory names.

    Args:
        directory (Directory): Tells where to connect.
        record (Record): Gets a line for each request.
        numbers (iterator): Numbers of requests.
    """

    def __init__(
        self,
        directory: site.Directory,
        record: site.Record,
        numbers: "itertools.count[int]",
    ) -> None:
        # When each request was sent, to which address, and its answer.
        self.tries: list[tuple[float, str, int]] = []
        self._directory = directory
        self._record = record
        self._numbers = numbers
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send at a steady rate until cancelled."""
        while True:
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self) -> None:
        request_id = f"{next(self._numbers):016x}"
        address = await self._directory.choose()
        headers = {
            "Host": site.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "2500",
            "X-Api-Key": KEY,
        }
        sent_at = self._record.now()
        connection = http_stream.Connection(address)
        status = 0
        try:
            answer = await connection.exchange(
                "POST", "/pufi791/2f", headers, b"x" * 1000
            )
            status = answer.status if answer is not None else 0
        except OSError:
            pass
        finally:
            connection.close()
        self.tries.append((sent_at, address, status))
        self._record.write(
            f"sent {request_id} at {sent_at:.3f} to {address}, "
            f"answered {status}"
        )


async def main() -> int:
    """Run the case."""
    deployment = site.Deployment(
        FOLDER,
        REGION_BY_ZONE,
        BOUNDS,
        site.build_config(7, [site.build_tenant(TENANT, [KEY])]),
        [*REGION_BY_ZONE] * 2,
        0.05,
        CuttableUpstream,
    )
    async with deployment:
        record = deployment.record
        numbers = itertools.count(1)
        clients = []
        for entry in deployment.entries:
            directory = site.Directory([entry], entry.region, entry.zone)
            clients.append(Client(directory, record, numbers))
            deployment.run_task(clients[-1].run())
        await asyncio.sleep(CALM_S)
        cut_entry = deployment.entries[0]
        cut_at = record.now()
        if site.is_trouble():
            record.say(f"{cut_entry.name}: connections to upstreams are reset")
            for upstream in deployment.upstreams:
                upstream.cut_entry = cut_entry
        await asyncio.sleep(CUT_S)
        return judge(record, clients, cut_entry, cut_at)


def judge(
    record: site.Record,
    clients: list[Client],
    cut_entry: site.Entry,
    cut_at: float,
) -> int:
    """Check rule RECOVER; returns 1 if broken, 2 if nothing was served."""
    tries = [
        each
        for client in clients
        for each in client.tries
        if each[0] > cut_at + STABLE_WINDOW_S
    ]
    here = [each for each in tries if each[1] == cut_entry.front]
    others = [each for each in tries if each[1] != cut_entry.front]
    served_here = sum(each[2] == 200 for each in here)
    served_others = sum(each[2] == 200 for each in others)
    failed_here = len(here) - served_here
    statuses = sorted({each[2] for each in here})
    record.say(
        f"first tries later than {STABLE_WINDOW_S:g} s after the cut: "
        f"{served_here} of {len(here)} served at {cut_entry.name} (answers "
        f"{statuses}), {served_others} of {len(others)} at the others"
    )
    if not others or not served_others or not here:
        return 2
    is_broken = (
        served_here / len(here) < 2 / 3 * served_others / len(others)
        and failed_here > 10 + len(tries) / 50
    )
    record.say("RECOVER broken" if is_broken else "RECOVER held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    site.run(main)
