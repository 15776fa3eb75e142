package statement

// sideEffectFreeCalls are the functions without side effects, and the keywords that can
// stand before a parenthesis.
var sideEffectFreeCalls = map[string]bool{
	"abs": true, "all": true, "and": true, "any": true, "array_agg": true, "as": true,
	"avg": true, "by": true, "cast": true, "ceil": true, "coalesce": true, "concat": true,
	"count": true, "current_setting": true, "date_trunc": true, "distinct": true, "exists": true,
	"extract": true, "filter": true, "floor": true, "from": true, "generate_series": true,
	"greatest": true, "group": true, "having": true, "in": true, "json_agg": true,
	"jsonb_agg": true, "lateral": true, "least": true, "left": true, "length": true,
	"lower": true, "max": true, "min": true, "not": true, "now": true, "nullif": true,
	"on": true, "or": true, "over": true, "pg_sleep": true, "rank": true, "repeat": true,
	"replace": true, "right": true, "round": true, "row_number": true, "select": true,
	"string_agg": true, "substring": true, "sum": true, "then": true, "to_char": true,
	"trim": true, "union": true, "unnest": true, "upper": true, "values": true, "version": true,
	"when": true, "where": true, "else": true,
}

// SideEffectFree reports whether the function certainly has no side effects. Any other
// function may write, so a statement that calls it must not run twice.
func SideEffectFree(name string) bool { return sideEffectFreeCalls[name] }

// callsUnknownFunction reports whether a statement calls a function that may write.
func callsUnknownFunction(tokens []token) bool {
	for i := range tokens {
		if name := calledFunction(tokens, i); name != "" && !SideEffectFree(name) {
			return true
		}
	}
	return false
}
