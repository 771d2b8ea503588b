import os
import re

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def test_the_python_example_of_the_readme_runs():
    with open(os.path.join(ROOT, "README.md"), encoding="utf-8") as text:
        code = re.search(r"```python\n(.*?)```", text.read(), re.S).group(1)
    names = {}
    exec(code, names)
    assert len(names["sends"]) == 1 and names["sends"][0].endpoint == 1
    assert names["timers"] and not names["policy"].parts.requests.pending
