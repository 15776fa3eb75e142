package statement_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/statement"
)

// Guards against a write that is classified as a read: it could be sent to a replica or
// be repeated.
func TestReadOnly(t *testing.T) {
	for sql, want := range map[string]bool{
		"SELECT 1":                                       true,
		"  (select 1) union (values (2));":               true,
		"table slots":                                    true,
		"show server_version":                            true,
		"with x as (select 1) select * from x":           true,
		"select 'insert into x', $$delete$$, \"update\"": true,
		"select 1 -- for update":                         true,
		"select /* update /* nested */ delete */ 1":      true,
		"select platform_log_position()":                 true,
		"select platform_work(10)":                       true,
		"select E'a\\'; delete from x; --'":              true,
		"":                                               false,
		"insert into x values (1)":                       false,
		"select 1; delete from x":                        false,
		"with x as (delete from y returning 1) select 1": false,
		"select * from x for update":                     false,
		"select * from x for no key update":              false,
		"select * from x for share":                      false,
		"select * into y from x":                         false,
		"select nextval('s')":                            false,
		"select pg_catalog . \"nextval\" ('s')":          false,
		"select platform_promote(1, 'a')":                false,
		"select pg_advisory_xact_lock(1)":                false,
		"select 'open":                                   false,
		"select /* open":                                 false,
		"select $a$ open $b$":                            false,
		"select 'a\\'; delete from x; --'":               false,
		"select U&\"n\\0065xtval\"('s')":                 false,
		"explain analyze select 1":                       false,
		"do $$ begin end $$":                             false,
	} {
		t.Run(sql, func(t *testing.T) {
			NewWithT(t).Expect(statement.ClassifySQL(sql).ReadOnly).To(Equal(want))
		})
	}
}

// Guards against a missed begin or end of a transaction: a connection would return to
// the pool with an open transaction, or be held after its end.
func TestTransactionControl(t *testing.T) {
	type control struct{ begins, ends bool }
	for sql, want := range map[string]control{
		"BEGIN":                            {true, false},
		"start transaction read only":      {true, false},
		"COMMIT":                           {false, true},
		"end work":                         {false, true},
		"abort":                            {false, true},
		"rollback and chain":               {true, true},
		"commit work and no chain":         {false, true},
		"rollback to savepoint a":          {false, false},
		"rollback work to a":               {false, false},
		"commit prepared 'x'":              {false, false},
		"begin; insert into x values (1);": {true, false},
		"begin; select 1; commit":          {true, true},
		"select 'begin'":                   {false, false},
	} {
		t.Run(sql, func(t *testing.T) {
			i := statement.ClassifySQL(sql)
			NewWithT(t).Expect(control{i.BeginsTransaction, i.EndsTransaction}).To(Equal(want))
		})
	}
}

// Guards against session state that is silently lost when the next batch runs on another
// connection.
func TestSessionState(t *testing.T) {
	for sql, want := range map[string]string{
		"LISTEN x":                               "LISTEN",
		"select 1; notify x":                     "NOTIFY",
		"set search_path to x":                   "SET",
		"set session x = 1":                      "SET",
		"set local x = 1":                        "",
		"set transaction read only":              "",
		"select set_config('a', 'b', true)":      "",
		"select set_config('a', 'b', false)":     "set_config",
		"select pg_advisory_lock(1)":             "session advisory lock",
		"select pg_try_advisory_lock_shared(1)":  "session advisory lock",
		"select pg_advisory_xact_lock(1)":        "",
		"prepare x as select 1":                  "PREPARE",
		"declare c cursor with hold for table x": "DECLARE WITH HOLD",
		"declare c cursor for table x":           "",
		"create temp table x ()":                 "temporary table",
		"create or replace temporary view x":     "temporary table",
		"select 1 into temp x":                   "temporary table",
		"select temp from weather":               "",
		"update x set temp = 1":                  "",
	} {
		t.Run(sql, func(t *testing.T) {
			NewWithT(t).Expect(statement.ClassifySQL(sql).SessionState).To(Equal(want))
		})
	}
}

// Guards against fingerprints that differ for literals, comments or white space, and
// against different statements with the same fingerprint. The owner keeps one mean run
// time for each fingerprint.
func TestFingerprint(t *testing.T) {
	g := NewWithT(t)
	fingerprintOf := func(sql string) uint64 { return statement.ClassifySQL(sql).Fingerprint }
	base := fingerprintOf("select * from x where a in (1, 2) and b = 'y'")
	g.Expect(fingerprintOf("SELECT *\n FROM x /* c */ WHERE a IN ($1,$2,$3) and b = $q$z$q$")).To(Equal(base))
	g.Expect(fingerprintOf("select * from x where c in (1, 2) and b = 'y'")).NotTo(Equal(base))
	g.Expect(fingerprintOf("select a, 1 from x")).NotTo(Equal(fingerprintOf("select a from x")))
	g.Expect(fingerprintOf("select 1, a")).NotTo(Equal(fingerprintOf("select 1 a")))
}

func batch(t *testing.T, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var b []byte
	for _, m := range messages {
		var err error
		b, err = m.Encode(b)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	}
	return b
}

// Guards against a batch that is classified by its first statement only, so that a write
// after a read is missed.
func TestClassifyBatch(t *testing.T) {
	g := NewWithT(t)
	i, err := statement.Classify(batch(t,
		&pgproto3.Parse{Query: "/* kind=lookup, request_key=k1 */ select 1"}, &pgproto3.Bind{},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(i.ReadOnly).To(BeTrue())
	g.Expect(i.Tag).To(Equal("lookup"))
	g.Expect(i.RequestKey).To(Equal("k1"))

	i, err = statement.Classify(batch(t,
		&pgproto3.Parse{Query: "select 1"}, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Parse{Query: "delete from x"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(i.ReadOnly).To(BeFalse())
	g.Expect(i.Text).To(Equal("select 1;\ndelete from x"))

	i, err = statement.Classify(batch(t,
		&pgproto3.Parse{Query: "select 1"}, &pgproto3.Bind{PreparedStatement: "earlier"}, &pgproto3.Sync{}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(i.ReadOnly).To(BeFalse())
	g.Expect(i.UnresolvedStatements).To(Equal([]string{"earlier"}))
}

// Guards against a request key on a batch that only prepares: its answer would be
// recorded under the key and returned to the batch that executes the statement.
func TestOnlyExecutionHasARequestKey(t *testing.T) {
	g := NewWithT(t)
	insert := "/* request_key=k1 */ insert into x values ($1)"
	i, err := statement.Classify(batch(t,
		&pgproto3.Parse{Query: insert}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Sync{}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(i.RequestKey).To(BeEmpty())

	i, err = statement.Classify(batch(t, &pgproto3.Query{String: insert}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(i.RequestKey).To(Equal("k1"))
}

// Guards against a panic on bytes that are not messages, and against accepting them.
func TestClassifyRejectsMalformedBatches(t *testing.T) {
	g := NewWithT(t)
	for _, b := range [][]byte{{'Q'}, {'Q', 0, 0, 0, 3}, {'Q', 255, 255, 255, 255, 0}, {'Q', 0, 0, 0, 5, 'x'}, {'B', 0, 0, 0, 4}} {
		_, err := statement.Classify(b)
		var malformed *statement.MalformedError
		g.Expect(err).To(BeAssignableToTypeOf(malformed), "%v", b)
	}
	_, err := statement.Classify(batch(t, &pgproto3.Terminate{}))
	g.Expect(err).To(BeAssignableToTypeOf(&statement.UnsupportedError{}))
}

// Guards against applying a rule other than the first that matches, and against wrong
// defaults.
func TestRules(t *testing.T) {
	g := NewWithT(t)
	r, err := statement.NewRules(manifest.Pool{
		Classes: []manifest.Class{
			{Name: "tagged", Match: manifest.Match{Tag: "ledger", Pattern: "(?i)sum"}, LongRunning: true},
			{Name: "sums", Match: manifest.Match{Pattern: "(?i)sum"}, DeadlineMs: 9},
		},
		Reads: []manifest.ReadKind{{Name: "all", MaxStalenessMs: 2000}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Class(statement.ClassifySQL("/* kind=ledger */ select sum(x)")).Name).To(Equal("tagged"))
	g.Expect(r.Class(statement.ClassifySQL("select SUM(x)")).DeadlineMs).To(Equal(9))
	g.Expect(r.Class(statement.ClassifySQL("/* kind=ledger */ select 1"))).To(Equal(
		manifest.Class{Name: "default", DeadlineMs: 5000, Priority: 5}))
	g.Expect(r.Read(statement.Info{}).MaxStalenessMs).To(Equal(2000))
	g.Expect(r.Write(statement.Info{}).Confirm).To(Equal(manifest.ConfirmReplicated))
	_, err = statement.NewRules(manifest.Pool{Name: "p", Classes: []manifest.Class{{Match: manifest.Match{Pattern: "("}}}})
	g.Expect(err).To(MatchError(ContainSubstring(`pool "p"`)))
}

// Measures the time to classify a typical lookup.
func BenchmarkClassifySQL(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		statement.ClassifySQL("/* kind=lookup */ SELECT id, due, fitter FROM visits WHERE customer = $1 AND due > '2026-01-01' ORDER BY due LIMIT 20")
	}
}

// Guards against a panic or an endless loop on arbitrary text, and against a comment
// that changes how a statement is classified.
func FuzzClassifySQL(f *testing.F) {
	for _, seed := range []string{"select 1e-5, $1, .5", "/*/", "$a$x$a$", "U&\"x", "e'\\", "\"", "0x1e+5", "1e", "$"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		plain, commented := statement.ClassifySQL(sql), statement.ClassifySQL("/* a /* b */ */ "+sql)
		if plain.ReadOnly != commented.ReadOnly || plain.Fingerprint != commented.Fingerprint {
			t.Fatalf("%+v, with a comment %+v", plain, commented)
		}
		_, _ = statement.Classify([]byte(sql))
	})
}
