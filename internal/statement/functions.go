package statement

import "strings"

// volatileFunctions write, change the server's state, or answer differently on a
// replica.
var volatileFunctions = map[string]bool{
	"nextval": true, "setval": true, "currval": true, "lastval": true,
	"set_config": true, "pg_notify": true, "txid_current": true,
	"pg_current_xact_id": true, "pg_export_snapshot": true, "pg_promote": true,
	"pg_reload_conf": true, "pg_rotate_logfile": true, "pg_cancel_backend": true,
	"pg_terminate_backend": true, "query_to_xml": true, "ts_stat": true,
}

// volatilePrefixes are families of such functions.
var volatilePrefixes = []string{
	"pg_advisory_", "pg_try_advisory_", "platform_", "dblink", "lo_", "pg_create_",
	"pg_drop_", "pg_switch_", "pg_replication_", "pg_logical_", "pg_wal_replay_",
	"pg_stat_reset", "pg_file_", "pg_backup_", "pg_start_backup", "pg_stop_backup",
	"query_to_", "cursor_to_", "binary_upgrade_", "pg_copy_", "pg_restore_",
	"pg_clear_", "brin_", "gin_clean_",
}

// readFunctions belong to a volatile family but only read.
var readFunctions = map[string]bool{
	"platform_log_position": true, "platform_work": true, "lo_get": true,
}

func volatileFunction(name string) bool {
	if readFunctions[name] {
		return false
	}
	if volatileFunctions[name] {
		return true
	}
	for _, p := range volatilePrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// call returns the name of the function that is called at the index, or "".
func call(tokens []token, i int) string {
	t := tokens[i]
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return ""
	}
	if i+1 >= len(tokens) || !tokens[i+1].symbol("(") {
		return ""
	}
	return t.text
}
