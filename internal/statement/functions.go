package statement

import "strings"

// primaryOnlyFunctions are functions that write, change the server's state, or return
// something else on a replica.
var primaryOnlyFunctions = map[string]bool{
	"nextval": true, "setval": true, "currval": true, "lastval": true,
	"set_config": true, "pg_notify": true, "txid_current": true,
	"pg_current_xact_id": true, "pg_export_snapshot": true, "pg_promote": true,
	"pg_reload_conf": true, "pg_rotate_logfile": true, "pg_cancel_backend": true,
	"pg_terminate_backend": true, "query_to_xml": true, "ts_stat": true,
}

// primaryOnlyPrefixes are the prefixes of families of such functions.
var primaryOnlyPrefixes = []string{
	"pg_advisory_", "pg_try_advisory_", "platform_", "dblink", "lo_", "pg_create_",
	"pg_drop_", "pg_switch_", "pg_replication_", "pg_logical_", "pg_wal_replay_",
	"pg_stat_reset", "pg_file_", "pg_backup_", "pg_start_backup", "pg_stop_backup",
	"query_to_", "cursor_to_", "binary_upgrade_", "pg_copy_", "pg_restore_",
	"pg_clear_", "brin_", "gin_clean_",
}

// replicaSafeFunctions match one of primaryOnlyPrefixes but only read.
var replicaSafeFunctions = map[string]bool{
	"platform_log_position": true, "platform_work": true, "lo_get": true,
}

// isPrimaryOnly reports whether a statement that calls the function must run on the
// primary.
func isPrimaryOnly(name string) bool {
	if replicaSafeFunctions[name] {
		return false
	}
	if primaryOnlyFunctions[name] {
		return true
	}
	for _, p := range primaryOnlyPrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// calledFunction returns the name of the function whose call starts at index i, or "" if
// none does. A keyword before a parenthesis also counts as a function.
func calledFunction(tokens []token, i int) string {
	t := tokens[i]
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return ""
	}
	if i+1 >= len(tokens) || !tokens[i+1].isSymbol("(") {
		return ""
	}
	return t.text
}
