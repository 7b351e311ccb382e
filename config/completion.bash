# Shell completion for turmericsparctl.
_turmericsparctl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
  case "$previous" in
    config) COMPREPLY=($(compgen -W "create patch rollback show history diff watch" -- "$word")) ;;
    create | --key) COMPREPLY=($(compgen -f -- "$word")) ;;
    *) COMPREPLY=($(compgen -W "config status upstreams drain top explain --once --interval-ms= --node= --key= --json --base= --to= --dry-run --author= --reason= --help" -- "$word")) ;;
  esac
}
complete -F _turmericsparctl turmericsparctl
