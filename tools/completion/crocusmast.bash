# Bash completion for the operators' tool; source this file.
_crocusmast() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
  local commands="check apply diff show history rollback status maintenance explain"
  local flags="--instances --plans --allowances --directory --author --reason
    --revision --base --pools --output --help"
  case $previous in
    --plans | --allowances) mapfile -t COMPREPLY < <(compgen -f -- "$word") ;;
    --directory) mapfile -t COMPREPLY < <(compgen -d -- "$word") ;;
    --output) mapfile -t COMPREPLY < <(compgen -W "table json" -- "$word") ;;
    *)
      if [[ $word == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$flags" -- "$word")
      elif [[ ${COMP_WORDS[1]} == maintenance ]] && ((COMP_CWORD == 2)); then
        mapfile -t COMPREPLY < <(compgen -W "start pause resume status" -- "$word")
      elif ((COMP_CWORD == 1)); then
        mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$word")
      fi
      ;;
  esac
}
complete -F _crocusmast crocusmast
