/**
 * `completion`: prints a shell's completion script.
 */
import { commands } from "../catalog.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { listOptions } from "../help.js";

export const completion: Command = {
    name: "completion",
    positionals: ["SHELL"],
    options: {},
    summary: "print the completion script of a shell: bash, zsh or fish",
    async run(context) {
        const [shell] = context.positionals;
        const script = shell === "bash" || shell === "zsh"
            ? formatBash(shell)
            : shell === "fish"
            ? formatFish()
            : undefined;
        if (script === undefined) {
            context.note(`unknown shell ${shell ?? ""}: use bash, zsh or fish`);
            return exitCodes.usage;
        }
        script.forEach(line => context.print(line));
        return exitCodes.done;
    },
};

function formatOptions(command: Command): string {
    return Object.keys(listOptions(command)).map(name => `--${name}`).join(" ");
}

/** Words that may follow the first word of a command. */
function listFirstWords(): Map<string, string[]> {
    const following = new Map<string, string[]>();
    for (const { name } of commands) {
        const [first = "", second] = name.split(" ");
        following.set(first, [...following.get(first) ?? [], ...second === undefined ? [] : [second]]);
    }
    return following;
}

function formatBash(shell: "bash" | "zsh"): string[] {
    const firstWords = listFirstWords();
    const cases = [...firstWords].filter(([, seconds]) => seconds.length > 0).map(([first, seconds]) =>
        `    "${first}") words="${seconds.join(" ")}" ;;`
    );
    const options = commands.map(command => `    "${command.name}"*) words="${formatOptions(command)}" ;;`);
    return [
        ...shell === "zsh" ? ["autoload -U +X bashcompinit && bashcompinit"] : [],
        "_flamingowell() {",
        '  local current="${COMP_WORDS[COMP_CWORD]}" words=""',
        '  local before="${COMP_WORDS[*]:1:COMP_CWORD-1}"',
        '  if [[ "$current" == -* ]]; then',
        '    case "$before" in',
        ...options,
        "    esac",
        "  else",
        '    case "$before" in',
        `    "") words="${[...firstWords.keys()].join(" ")}" ;;`,
        ...cases,
        '    *) COMPREPLY=($(compgen -f -- "$current")); return ;;',
        "    esac",
        "  fi",
        '  COMPREPLY=($(compgen -W "$words" -- "$current"))',
        "}",
        "complete -F _flamingowell flamingowell",
    ];
}

function formatFish(): string[] {
    return commands.flatMap(command => {
        const { name, summary } = command;
        const [first = "", second] = name.split(" ");
        const text = summary.replaceAll("'", "\\'");
        const words = second === undefined
            ? [`complete -c flamingowell -n __fish_use_subcommand -a ${first} -d '${text}'`]
            : [
                `complete -c flamingowell -n __fish_use_subcommand -a ${first}`,
                `complete -c flamingowell -n '__fish_seen_subcommand_from ${first}' -a ${second} -d '${text}'`,
            ];
        const seen = second ?? first;
        const own = Object.entries(listOptions(command)).map(([option, { help }]) =>
            `complete -c flamingowell -n '__fish_seen_subcommand_from ${seen}' -l ${option} -d '${
                help.replaceAll("'", "\\'")
            }'`
        );
        return [...words, ...own];
    });
}
