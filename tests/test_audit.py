"""Guards against lost, repeated, unrecorded or misreported configuration changes."""

import uuid

import anyio
import defopt
import msgspec
import pytest

from marigoldkeel import audit, operators
from marigoldkeel.audit import AUDIT_PREFIX, CONFIGURATION_KEY, ConfigurationStore
from marigoldkeel.configuration import Configuration, ConfigurationError
from marigoldkeel.exceptions import InvalidInput, StoreUnavailable
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.memory import MemoryStore


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FaultyStore(MemoryStore):
    """A store that can run a hook before a write, delay writes and fail reads.

    A delayed write raises an error and takes effect before the next write.
    """

    before_swap = None
    fail_reads = False
    delayed_writes = None
    delay_next_write = False

    async def get(self, key):
        if self.fail_reads:
            raise StoreUnavailable("no answer", "store range")
        return await super().get(key)

    async def compare_and_swap(self, writes):
        hook, self.before_swap = self.before_swap, None
        if hook:
            await hook()
        if self.delay_next_write:
            self.delay_next_write, self.delayed_writes = False, writes
            raise StoreUnavailable("no answer", "store txn")
        if self.delayed_writes:
            writes_first, self.delayed_writes = self.delayed_writes, None
            await super().compare_and_swap(writes_first)
        return await super().compare_and_swap(writes)


@pytest.fixture
def store():
    return FaultyStore()


def set_value(path, text):
    return lambda configuration: configuration.with_value(path, text)


def change(store, path, text, change_id, **options):
    return ConfigurationStore(store, retry_delay_s=0).change(
        set_value(path, text), "ann", "load test", change_id, **options
    )


async def check_audit_trail(store):
    """Check that each revision of the configuration has exactly one audit record."""
    values = [value for value in store.history if value.key == CONFIGURATION_KEY]
    for value in values:
        stored = msgspec.json.decode(value.data)
        key = f"{AUDIT_PREFIX}{stored['audit_chunk']:08d}"
        chunk = next(
            v for v in store.history if (v.key, v.revision) == (key, value.revision)
        )
        record = msgspec.json.decode(chunk.data)[-1]
        assert record["revision"] == stored["revision"]
        assert record["change_id"] == stored["change_id"]
    writes = {value.revision for value in store.history}
    assert writes == {value.revision for value in values}
    history = await ConfigurationStore(store).history(10_000)
    assert [r.revision for r in history] == list(range(len(values), 0, -1))
    assert len({record.change_id for record in history}) == len(values)


AGEING, PROBES = ("defaults.ageing_ms", 50), ("defaults.probe_ratio", 5)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("winner", "loser", "outcome"),
    [
        (AGEING, PROBES, "accepted"),
        (PROBES, AGEING, "accepted"),
        (AGEING, ("defaults.ageing_ms", 70), "rejected"),
        (("defaults.ageing_ms", 70), AGEING, "rejected"),
        (("defaults.max_deadline_ms", 70_000), ("kinds.swap.deadline_ms", 80_000), 0),
    ],
)
async def test_change_that_loses_a_race_is_reapplied_unless_it_conflicts(
    store, winner, loser, outcome
):
    async def commit_competing_change():
        first = await change(store, winner[0], str(winner[1]), "first")
        assert first.outcome == "accepted"

    configurations = ConfigurationStore(store)
    await configurations.change(
        lambda _: Configuration.example(), "ann", "install", "zero", 0
    )
    store.before_swap = commit_competing_change
    result = await change(store, loser[0], str(loser[1]), "second")
    # The last parameter set violates a rule between two fields, which is found only
    # when the change is applied again.
    assert result.invalid == (outcome == 0)
    assert result.outcome == (outcome or "rejected")
    assert result.after == dict([loser])
    document = (await configurations.read()).configuration.flatten()
    if outcome == "accepted":
        assert {*document.items()} >= {winner, loser}
    else:
        assert document[winner[0]] == winner[1] and result.reason
        assert [record.change_id for record in result.intervening_changes] == ["first"]
        assert str(loser[1]) in result.edited.to_toml()
    await check_audit_trail(store)


@pytest.mark.anyio
@pytest.mark.parametrize("change_id", ["ticket-7", str(mint_submission_id())])
async def test_same_change_id_is_answered_with_the_earlier_result(store, change_id):
    first = await change(store, "defaults.ageing_ms", "50", change_id)
    await change(store, "defaults.ageing_ms", "60", "other")
    again = await change(store, "defaults.ageing_ms", "50", change_id)
    assert (first.outcome, first.revision) == (again.outcome, again.revision)
    assert (await ConfigurationStore(store).read()).revision == 2
    await check_audit_trail(store)


@pytest.mark.anyio
@pytest.mark.parametrize("fault", ["lost answer", "late write", "race and lost"])
async def test_lost_answer_is_resolved_by_the_audit_trail(store, fault):
    async def commit_competing_change():
        await change(store, "defaults.probe_ratio", "5", "other")
        store.lose_write_answers = 1

    if fault == "race and lost":
        store.before_swap = commit_competing_change
    elif fault == "late write":
        store.delay_next_write = True
    else:
        store.lose_write_answers = 1
    result = await change(store, "defaults.ageing_ms", "50", "mine")
    assert (result.outcome, result.revision) == ("accepted", len(store.history) // 2)
    await check_audit_trail(store)


@pytest.mark.anyio
@pytest.mark.parametrize("lost", [True, False])
async def test_lost_answer_that_cannot_be_read_back_is_unknown(store, lost):
    async def make_unavailable():
        store.fail_reads = True
        store.lose_write_answers = lost
        store.delay_next_write = not lost

    store.before_swap = make_unavailable
    result = await change(store, "defaults.ageing_ms", "50", "mine")
    assert result.outcome == "unknown" and result.after == {"defaults.ageing_ms": 50}
    store.fail_reads = False
    again = await change(store, "defaults.ageing_ms", "50", "mine")
    assert (again.outcome, again.revision) == ("accepted", 1)
    await check_audit_trail(store)


@pytest.mark.anyio
async def test_pending_write_is_repeated_and_never_reported_as_rejected(store):
    edits = iter([set_value("defaults.ageing_ms", "50")])

    def edit_once(configuration):
        if (edit := next(edits, None)) is None:
            raise ConfigurationError("the edit no longer applies")
        return edit(configuration)

    store.delay_next_write = True
    configurations = ConfigurationStore(store, retry_delay_s=0)
    result = await configurations.change(edit_once, "ann", "load test", "mine")
    assert (result.outcome, result.revision) == ("accepted", 1)


@pytest.mark.anyio
async def test_write_that_can_no_longer_take_effect_is_reported_as_rejected(store):
    async def commit_competing_change_and_delay_write():
        await change(store, "defaults.probe_ratio", "5", "first")
        store.delay_next_write, store.before_swap = (
            True,
            commit_competing_change_and_fail_reads,
        )

    async def commit_competing_change_and_fail_reads():
        await change(store, "defaults.probe_ratio", "6", "second")
        store.fail_reads = True

    store.before_swap = commit_competing_change_and_delay_write
    result = await change(store, "defaults.ageing_ms", "50", "mine")
    assert (result.outcome, store.fail_reads) == ("rejected", True)
    store.fail_reads = False
    await check_audit_trail(store)


@pytest.mark.anyio
@pytest.mark.parametrize(("repeated", "outcome"), [(0, "rejected"), (1, "unknown")])
async def test_outcome_when_the_store_is_down_from_the_start(store, repeated, outcome):
    store.down = True
    result = await change(store, "defaults.ageing_ms", "50", "a", repeated=repeated)
    assert result.outcome == outcome and not store.history


@pytest.mark.anyio
async def test_stale_document_and_invalid_edits_write_nothing(store):
    await change(store, "defaults.ageing_ms", "50", "a")
    stale = await change(store, "defaults.ageing_ms", "60", "b", expected_revision=0)
    assert (stale.outcome, stale.invalid) == ("rejected", False)
    assert [r.change_id for r in stale.intervening_changes] == ["a"]
    assert stale.edited.defaults.ageing_ms == 60
    invalid = await change(store, "defaults.ageing_ms", "0", "c")
    assert (invalid.outcome, invalid.invalid) == ("rejected", True)
    assert (await change(store, "defaults.ageing_ms", "70", "d")).revision == 2
    with pytest.raises(ConfigurationError):
        await change(store, "defaults.ageing_ms", "80", " ")
    await check_audit_trail(store)


@pytest.mark.anyio
async def test_concurrent_operators_lose_no_change(store):
    store.delay_s = 0.001
    async with anyio.create_task_group() as group:
        for index, field in enumerate(
            ("ageing_ms", "long_task_ms", "claim_timeout_ms")
        ):
            group.start_soon(change, store, f"defaults.{field}", "99", f"c{index}")
    defaults = (await ConfigurationStore(store).read()).configuration.defaults
    assert defaults.ageing_ms == defaults.long_task_ms == defaults.claim_timeout_ms
    await check_audit_trail(store)


@pytest.mark.anyio
async def test_chunks_roll_over_before_the_limit_and_old_ones_are_emptied(
    store, monkeypatch
):
    monkeypatch.setattr(audit, "MAX_CHUNK_BYTES", 500)
    monkeypatch.setattr(audit, "AUDIT_CHUNKS_KEPT", 3)
    ids = [str(mint_submission_id()) for _ in range(8)]
    # An id with a timestamp in the future must still be found in the oldest chunk kept.
    ids[2] = str(mint_submission_id(2**42))
    for number, change_id in enumerate(ids):
        await change(store, "defaults.ageing_ms", str(100 + number), change_id)
    sizes = [len(v.data) for v in (await store.get_prefix(AUDIT_PREFIX)).values]
    assert len(sizes) > 3 and max(sizes) <= 500
    assert sizes[:-3] == [2] * (len(sizes) - 3) and min(sizes[-3:]) > 2
    configurations = ConfigurationStore(store)
    kept = await configurations.history(100)
    assert [r.revision for r in kept] == list(range(8, 8 - len(kept), -1))
    assert await configurations.diff(8, 7) == (
        {"defaults.ageing_ms": 107},
        {"defaults.ageing_ms": 106},
    )
    again = await change(store, "defaults.ageing_ms", "1", kept[-1].change_id)
    assert (again.revision, kept[-1].change_id) == (3, ids[2])
    for revisions in ((0, 8), (7, 9)):
        with pytest.raises(InvalidInput):
            await configurations.diff(*revisions)


@pytest.mark.anyio
async def test_audit_trail_without_configuration_is_not_restarted(store):
    await change(store, "defaults.ageing_ms", "50", "a")
    store.keys.remove(CONFIGURATION_KEY.encode())
    with pytest.raises(ConfigurationError, match="audit trail exists"):
        await change(store, "defaults.ageing_ms", "60", "b")


AUTHOR_OPTIONS = [
    "--author",
    "ann",
    "--reason",
    "peak load",
    "--store",
    "http://127.0.0.1:1",
]


def test_commands_print_the_outcome_and_exit_with_its_code(
    store, monkeypatch, capsys, tmp_path
):
    monkeypatch.setattr(operators, "open_store", lambda kind, url: store)
    file = tmp_path / "config.toml"

    def run(line, with_author=True):
        arguments = [
            *line.split(),
            *(AUTHOR_OPTIONS if with_author else AUTHOR_OPTIONS[4:]),
        ]
        code = defopt.run(operators.COMMANDS, argv=arguments)
        return code, "".join(capsys.readouterr())

    file.write_text("# revision: 0\n" + Configuration.example().to_toml())
    identifier = str(uuid.uuid4())
    add_exception = "exception add kind quote max_tasks 9 --id e1"
    for line, with_author, code, text in [
        (f"config apply {file}", True, 0, "accepted at revision 1"),
        (f"config apply {file}", True, 1, "current one is 1: revision 1 by ann"),
        ("config set kinds.quote.max_tasks 5", True, 0, "150 -> 5"),
        ("config set kinds.quoet.max_tasks 5", True, 2, "kinds.quoet.max_tasks"),
        (f"{add_exception} --expires-at 2099-01-01T00:00:00Z", True, 0, "revision 3"),
        (add_exception, True, 2, "id is used twice"),
        ("exception add host h1 heartbeat_ms 500", True, 2, "scope"),
        ("exception list", False, 0, "e1: kind quote: max_tasks = 9 (active until"),
        ("exception remove e1", True, 0, "revision 4"),
        ("config history --limit 1", False, 0, "ann: peak load"),
        (f"config history --change {identifier}", False, 1, "no record of change"),
        ("config history --limit 0", False, 2, "--limit must be at least 1"),
        ("config diff 1 4", False, 0, "kinds.quote.max_tasks: 150 -> 5"),
        ("config diff 1 9", False, 2, "does not cover"),
        ("config show", False, 0, "# revision: 4\n"),
    ]:
        result = run(line, with_author)
        assert result[0] == code and text in result[1], (line, result)
    store.down = True
    repeat = f"config set defaults.ageing_ms 5000 --change {identifier}"
    monkeypatch.setattr(audit, "MAX_ATTEMPTS", 2)
    assert run("config set defaults.ageing_ms 5000")[0] == 1
    code, text = run(repeat)
    assert code == 3 and f"config history --change {identifier}" in text
