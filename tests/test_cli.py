import json

import pytest

from sequoiahook.cli.exit_codes import ExitCode
from sequoiahook.cli.main import main

CONFIGURATION = {
    "regions_by_name": {"north": {"data_centres": ["dc-a"]}},
    "services_by_name": {"desk": {"path_prefix": "/desk"}},
}


def run(capsys, *arguments):
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    return ended.value.code, capsys.readouterr()


@pytest.fixture
def write(tmp_path):
    def write_document(name, document):
        path = tmp_path / name
        path.write_text(json.dumps(document))
        return str(path)

    return write_document


def test_all_findings_of_the_settings_are_shown(capsys, write):
    path = write("settings.json", {"name": 3, "colour": "red"})
    code, output = run(capsys, "check", path, "--json")
    places = {entry["place"] for entry in json.loads(output.out)["findings"]}
    assert code == ExitCode.INVALID
    assert {"$.name", "$.colour", "$.platform.token", "$.fleet_secret"} <= places


def test_patch_is_checked_against_its_base(capsys, write):
    base = write("base.json", CONFIGURATION)
    target = {
        "service": "desk",
        "data_centre": "dc-b",
        "host": "127.0.0.1",
        "port": 1,
        "slots": 1,
    }
    patch = write("patch.json", {"targets_by_name": {"t": target}})
    code, output = run(capsys, "check", patch, "--kind", "patch", "--base", base)
    assert code == ExitCode.INVALID
    assert "targets_by_name.t.data_centre: 'dc-b' is not defined" in output.err
    target["data_centre"] = "dc-a"
    patch = write("patch.json", {"targets_by_name": {"t": target}})
    code, _ = run(capsys, "check", patch, "--kind", "patch", "--base", base)
    assert code == ExitCode.OK


def test_unreachable_instance_is_unavailable(capsys, write):
    settings = {"addresses": [{"host": "127.0.0.1", "port": 1}], "token": "t"}
    path = write("operator.json", settings)
    code, output = run(capsys, "configuration", "--operator", path)
    assert code == ExitCode.UNAVAILABLE
    assert output.err.startswith("error: ")
