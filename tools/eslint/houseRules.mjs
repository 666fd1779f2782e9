/** ESLint rules of this repository: verbs in function names, imports of layers, platform names. */
import { readFileSync } from 'node:fs';
import { dirname, relative, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const layers = JSON.parse(readFileSync(resolve(root, 'tools/eslint/layers.json'), 'utf8'));

const readVerbs = () => {
  const text = readFileSync(resolve(root, 'docs/VERBS.md'), 'utf8');
  const lists = text.split(/^## .*$/m).slice(1).join(' ');
  return new Set(lists.split(/[\s,]+/).filter(Boolean));
};

const verbs = readVerbs();

const startsWithVerb = (name) => verbs.has(/^[a-z]+/.exec(name)?.[0] ?? '');

const isFunction = (node) => node?.type === 'ArrowFunctionExpression' || node?.type === 'FunctionExpression';

/** Names of constants and classes start with a capital letter and are not checked. */
const isChecked = (name) => /^[a-z]/.test(name);

const verbNames = {
  meta: { type: 'suggestion', schema: [], messages: { verb: 'Function "{{name}}" does not start with a verb that docs/VERBS.md lists.' } },
  create: (context) => {
    const check = (node, name) => {
      if (!isChecked(name) || startsWithVerb(name)) return;
      context.report({ node, messageId: 'verb', data: { name } });
    };
    return {
      VariableDeclarator: (node) => {
        if (node.id.type === 'Identifier' && isFunction(node.init)) check(node, node.id.name);
      },
      FunctionDeclaration: (node) => {
        if (node.id) check(node, node.id.name);
      },
      MethodDefinition: (node) => {
        if (node.kind === 'method' && node.key.type === 'Identifier') check(node, node.key.name);
      },
    };
  },
};

const findLayer = (path) => relative(resolve(root, 'src'), path).split('/')[0];

const layerImports = {
  meta: { type: 'problem', schema: [], messages: { layer: 'Layer "{{from}}" may not import from "{{to}}"; see tools/eslint/layers.json.' } },
  create: (context) => {
    const from = findLayer(context.filename);
    const allowed = layers[from];
    return {
      ImportDeclaration: (node) => {
        if (!allowed || !node.source.value.startsWith('.')) return;
        const to = findLayer(resolve(dirname(context.filename), node.source.value));
        if (to === from || allowed.includes(to)) return;
        context.report({ node, messageId: 'layer', data: { from, to } });
      },
    };
  },
};

const PLATFORM_NAMES = /Attempt-Id|Server-Stamp|Expected-Instance|Not-Executed|Prompt-Prefix|Token-Count|Kv-[A-Z][a-z]+|Instances\.(Heartbeat|Deregister)|Configuration\.(Replace|Read)|readiness_address|seed_nodes/i;

/** Names of the users' platform are used only in platform/, and src/ does not import from it. */
const platformNames = {
  meta: { type: 'problem', schema: [], messages: { name: 'Name "{{name}}" of the users\' platform may only be used in platform/.', source: 'Files of src/ and scripts/ may not import from platform/.' } },
  create: (context) => ({
    Program: (node) => {
      const found = PLATFORM_NAMES.exec(context.sourceCode.text);
      if (found) context.report({ node, messageId: 'name', data: { name: found[0] } });
    },
    ImportDeclaration: (node) => {
      if (/(^|\/)platform\//.test(node.source.value)) context.report({ node, messageId: 'source' });
    },
  }),
};

export default {
  rules: {
    'verb-names': verbNames, 'layer-imports': layerImports, 'platform-names': platformNames,
  },
};
