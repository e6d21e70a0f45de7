package commander

import (
	"context"
	"fmt"
)

type completionCommand struct {
	Args struct {
		Shell string `positional-arg-name:"SHELL" required:"yes" description:"bash or zsh"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*completionCommand) Execute([]string) error { return nil }

func (*completionCommand) local() bool { return true }

// The scripts run the program itself, which prints completions when GO_FLAGS_COMPLETION is set.
const bashScript = `_currantctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}" 2>/dev/null))
}
complete -o default -F _currantctl currantctl
`

const zshScript = `autoload -U +X bashcompinit && bashcompinit
` + bashScript

func (cm *completionCommand) run(_ context.Context, ss *session) error {
	switch cm.Args.Shell {
	case "bash":
		fmt.Fprint(ss.out, bashScript)
	case "zsh":
		fmt.Fprint(ss.out, zshScript)
	default:
		return failf(ExitUsage, "shell is %q, allowed are bash and zsh", cm.Args.Shell)
	}
	return nil
}
