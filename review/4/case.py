"""The store comes back from a copy; a key that is then taken away runs on."""

import asyncio
import itertools
import pathlib

import http_stream
import platform_store
import small_site as site

FOLDER = pathlib.Path(__file__).resolve().parent
BOUNDS = {"config": "2500ms", "stableWindow": "4000ms", "grace": "6s"}
CONFIG_S = 2.5
STABLE_WINDOW_S = 4.0
MAX_STRETCH_S = 6.0
REGION_BY_ZONE = {
    "nigde-a": "ic-anadolu",
    "odemis-a": "ege",
    "erzurum-a": "dogu",
}
# The copy is COPY_AGE_S old; EARLIER_CHANGE_S after it was taken the operator
# changes the configuration, as on any day.
COPY_AGE_S = 8.0
EARLIER_CHANGE_S = 6.0
AWAY_S = 1.0
CHANGE_AFTER_S = 1.0
OBSERVED_S = 30.0
KEPT_KEY = "b9wu3fexd9dnn2ctnfzs"
DROPPED_KEY = "989anu6wsjnbanfqasnm"
TENANT = "kaje80"


class Client:
    """Sends requests with one key to one entry, one after the other.

    Args:
        entry (Entry): The entry.
        key (str): The key.
        record (Record): Gets a line for each request.
        numbers (iterator): Numbers of requests.
    """

    def __init__(
        self,
        entry: site.Entry,
        key: str,
        record: site.Record,
        numbers: "itertools.count[int]",
    ) -> None:
        self.entry = entry
        self.key = key
        # When each request was sent, its id and the status of its answer.
        self.answers: list[tuple[float, str, int]] = []
        self._record = record
        self._numbers = numbers

    async def run(self) -> None:
        """Send until cancelled."""
        connection = http_stream.Connection(self.entry.front)
        while True:
            request_id = f"{next(self._numbers):016x}"
            headers = {
                "Host": site.HOST,
                "Request-Id": request_id,
                "Deadline-Ms": "2500",
                "X-Api-Key": self.key,
            }
            sent_at = self._record.now()
            status = 0
            try:
                answer = await connection.exchange(
                    "GET", "/lohu930/2f", headers
                )
                status = answer.status if answer is not None else 0
            except OSError:
                connection.close()
            self.answers.append((sent_at, request_id, status))
            self._record.write(
                f"sent {request_id} at {sent_at:.3f} to {self.entry.name} "
                f"with key {self.key}, answered {status}"
            )
            await asyncio.sleep(0.1)


async def drill(
    store: platform_store.Store,
    record: site.Record,
    upstreams: list[site.Upstream],
    config: bytes,
) -> float:
    """Let the store come back from a copy; returns when it was back.

    Args:
        store (Store): The store.
        record (Record): Gets a line for each step.
        upstreams (list): The upstreams, which register again.
        config (bytes): What the operator writes after the copy was taken, and
            again after the store has come back.
    """
    state = store.take_copy()
    record.say(f"copy of the store taken at revision {store.revision}")
    await asyncio.sleep(EARLIER_CHANGE_S)
    revision = store.put("op/config", config)
    record.say(f"version 8 acknowledged at revision {revision}")
    await asyncio.sleep(COPY_AGE_S - EARLIER_CHANGE_S)
    if site.is_trouble():
        record.say(f"store away at revision {store.revision}")
        store.is_down = True
        store.abort_connections()
        await asyncio.sleep(AWAY_S)
        store.restore(state)
        store.is_down = False
        # What the operator and the upstreams wrote is written again.
        store.put("op/config", config)
        for upstream in upstreams:
            upstream.register()
        record.say(
            f"store back from the copy, era {store.era}, "
            f"revision {store.revision}"
        )
    return record.now()


async def main() -> int:
    """Run the case."""
    tenant = site.build_tenant(TENANT, [KEPT_KEY, DROPPED_KEY])
    deployment = site.Deployment(
        FOLDER,
        REGION_BY_ZONE,
        BOUNDS,
        site.build_config(7, [tenant]),
        [*REGION_BY_ZONE, "nigde-a"],
    )
    async with deployment:
        record, store = deployment.record, deployment.store
        numbers = itertools.count(1)
        clients = [
            Client(entry, key, record, numbers)
            for entry in deployment.entries
            for key in (KEPT_KEY, DROPPED_KEY)
        ]
        for client in clients:
            deployment.run_task(client.run())
        await asyncio.sleep(5.0)
        config = site.build_config(8, [tenant], "2500ms")
        back_at = await drill(store, record, deployment.upstreams, config)
        await asyncio.sleep(CHANGE_AFTER_S)
        tenant = site.build_tenant(TENANT, [KEPT_KEY])
        config = site.build_config(9, [tenant], "2500ms")
        revision = store.put("op/config", config)
        acknowledged_at = record.now()
        record.say(
            f"version 9 without key {DROPPED_KEY} acknowledged at revision "
            f"{revision}"
        )
        await asyncio.sleep(OBSERVED_S)
        return judge(
            record, clients, deployment.upstreams, back_at, acknowledged_at
        )


def judge(
    record: site.Record,
    clients: list[Client],
    upstreams: list[site.Upstream],
    back_at: float,
    acknowledged_at: float,
) -> int:
    """Check rule CONFIG; returns 1 if it is broken, 2 if nothing was sent."""
    binds_from = max(
        acknowledged_at + CONFIG_S + MAX_STRETCH_S, back_at + STABLE_WINDOW_S
    )
    ran = {run[1] for upstream in upstreams for run in upstream.runs}
    sent = broken = kept_served = 0
    for client in clients:
        late = [each for each in client.answers if each[0] > binds_from]
        if client.key == KEPT_KEY:
            kept_served += sum(each[2] == 200 for each in late)
            continue
        broken_here = sum(each[1] in ran for each in late)
        record.say(
            f"{client.entry.name}: {len(late)} requests with the dropped key "
            f"sent later than {binds_from - acknowledged_at:.1f} s after the "
            f"acknowledgement, {broken_here} of them ran"
        )
        sent += len(late)
        broken += broken_here
    record.say(f"with the kept key {kept_served} were served meanwhile")
    if not sent or not kept_served:
        return 2
    record.say("CONFIG broken" if broken else "CONFIG held")
    return 1 if broken else 0


if __name__ == "__main__":
    site.run(main)
