#!/usr/bin/env python3
"""Prints the names that leave the processes, one a line, sorted.

    scripts/outer-names.py > docs/outer-names.txt

Read from the sources: serialized types (serde, bincode) under the names they have outside, the schemas, JSON literals,
headers, paths, tables and rows, words that values are written as, metrics with their labels, flags, environment variables,
file names, event numbers, and the keys of the deploy file, the settings template, the examples and the day files.
"""
import json, re, subprocess
from pathlib import Path

root = Path(__file__).resolve().parent.parent
names = set()


def tracked(*globs):
    found = subprocess.run(['git', 'ls-files', '--', *globs], cwd=root, check=True, capture_output=True, text=True).stdout
    return [root / line for line in found.splitlines()]


def outer_case(name, rule, variant):
    words = re.findall(r'[A-Z][a-z0-9]*|[a-z0-9]+', name)
    words = [word.lower() for word in words]
    if rule == 'snake_case': return '_'.join(words)
    if rule == 'kebab-case': return '-'.join(words)
    if rule == 'lowercase': return ''.join(words)
    if rule == 'camelCase': return words[0] + ''.join(word.capitalize() for word in words[1:])
    return name


def body_of(text, start):
    """The text between the bracket at start and its partner."""
    depth, at = 0, start
    while at < len(text):
        if text[at] in '{([': depth += 1
        if text[at] in '})]':
            depth -= 1
            if depth == 0: return text[start + 1:at]
        at += 1
    return text[start + 1:]


def top_level(body):
    """Members of a struct or enum: attributes and name, without what stands in brackets."""
    members, depth, member = [], 0, ''
    for char in body:
        if char in '{([<': depth += 1
        if char in '})]>': depth -= 1
        if char == ',' and depth <= 0: members.append(member); member = ''
        else: member += char
    return members + [member]


def serialized(text):
    for match in re.finditer(r'#\[derive\(([^)]*)\)\]((?:\s*(?:#\[(?:[^\]"]|"[^"]*")*\]|//[^\n]*))*)\s*(?:pub(?:\([a-z]+\))?\s+)?'
                             r'(struct|enum)\s+(\w+)(?:<[^>]*>)?\s*([{(;])', text):
        if not re.search(r'Serialize|Deserialize|\bEncode\b|\bDecode\b', match.group(1)): continue
        rule = re.search(r'rename_all\s*=\s*"([^"]+)"', match.group(2))
        rule = rule and rule.group(1)
        names.update(re.findall(r'tag\s*=\s*"([^"]+)"', match.group(2)))
        if match.group(5) != '{': continue
        body = re.sub(r'//[^\n]*', '', body_of(text, match.end() - 1))
        members(body, rule, match.group(3) == 'enum')


def members(body, rule, variants):
    for member in top_level(body):
        renamed = re.search(r'rename\s*=\s*"([^"]+)"', member)
        bare = re.sub(r'#\[(?:[^\]"]|"[^"]*")*\]', '', member).strip()
        name = re.match(r'(?:pub(?:\([a-z]+\))?\s+)?(?:r#)?(\w+)', bare)
        if not name: continue
        names.add(renamed.group(1) if renamed else outer_case(name.group(1), rule, variants))
        if variants and '{' in bare: members(body_of(bare, bare.index('{')), None, False)


def schema(value, inside=None):
    if isinstance(value, dict):
        for key, inner in value.items():
            if inside in ('properties', 'definitions', '$defs', 'patternProperties') and inside == 'properties': names.add(key)
            if key == 'const' and isinstance(inner, str): names.add(inner)
            if key == 'enum' and isinstance(inner, list): names.update(word for word in inner if isinstance(word, str))
            schema(inner, None if inside == 'properties' else key)
    elif isinstance(value, list):
        for inner in value: schema(inner)


def keys_of(value):
    if isinstance(value, dict):
        for key, inner in value.items(): names.add(key); keys_of(inner)
    elif isinstance(value, list):
        for inner in value: keys_of(inner)


for path in tracked('crates/*/src/*.rs', 'crates/*/src/**/*.rs', 'platform/src/*.rs'):
    text = path.read_text()
    generated = 'generated' in path.parts
    serialized(text)
    if generated: continue
    code = re.sub(r'^\s*//[^\n]*', '', text, flags=re.M)
    names.update(re.findall(r'HeaderName::from_static\("([^"]+)"\)', code))
    names.update(re.findall(r'"((?:x-|idempotency-|retry-|last-event)[a-z-]+)"', code))
    names.update(re.findall(r'"(/[a-z][\w/.{}-]*)[?"]', code))
    names.update(re.findall(r'"([a-z-]+/)(?:\{[^"]*)?"', code))
    names.update(re.findall(r'"(agatestair_\w+)"', code))
    names.update(re.findall(r'=> Some\("([\w-]+)"\)|=> "([\w-]+)"|"([\w-]+)" =>|"([\w-]+)" \|', code) and
                 [word for found in re.findall(r'=> Some\("([\w-]+)"\)|=> "([\w-]+)"|"([\w-]+)" =>|"([\w-]+)" \|', code) for word in found if word])
    for start in re.finditer(r'json!\(', code):
        names.update(re.findall(r'"([\w-]+)"\s*:', body_of(code, start.end() - 1)))
    names.update(re.findall(r'env::var(?:_os)?\("(\w+)"\)', code))
    names.update(re.findall(r'"([A-Z]+(?:_[A-Z]+)+)"', code))
    names.update(re.findall(r'"([\w-]+\.(?:jsonc?|html|svg|log|toml|txt|csv))"', code))
    for start in re.finditer(r'xflags!\s*\{', code):
        block = body_of(code, start.end() - 1)
        names.update(re.findall(r'(--[a-z][a-z-]*)', block))
        names.update(re.findall(r'\bcmd ([a-z][a-z-]*)', block))
    for number in re.findall(r'number: (\d+)', code): names.add(number)
for path in tracked('crates/**/tests/*.rs', 'platform/tests/**/*.rs', 'crates/**/examples/*.rs'):
    names.update(re.findall(r'env::var(?:_os)?\("(\w+)"\)', path.read_text()))
for path in tracked('crates/schema/schemas/*.json'): schema(json.loads(path.read_text()))
for path in tracked('scripts/*.sh'):
    names.update(re.findall(r'\$\{(AGATESTAIR_\w+|SOAK_\w+)', path.read_text()))
    names.update(re.findall(r'(?<![\w-])(--[a-z][a-z-]*)\)', path.read_text()))
for path in tracked('deploy/*.toml', 'deploy/days/*.toml', 'platform/*.template'):
    text = re.sub(r'^\s*(#|//).*', '', path.read_text(), flags=re.M)
    names.update(word for pair in re.findall(r'^\s*\[*([\w.]+)\]+|([\w]+)\s*=', text, flags=re.M) for word in pair if word)
    names.update(re.findall(r'"([\w-]+)"\s*:', text))
    names.update(re.findall(r'\{\{[#^/]?([\w.]+)', text))
for path in tracked('examples/**/*.json*'):
    names.update(re.findall(r'"([\w-]+)"\s*:', path.read_text()))
print('\n'.join(sorted(name for name in names if name)))
