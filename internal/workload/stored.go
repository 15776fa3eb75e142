package workload

import (
	"context"

	"github.com/jackc/pgx/v5"
)

// CountStored returns the number of stored rows of each booking ID, read through the
// host at the address entry.
func CountStored(ctx context.Context, entry, pool string) (map[string]int, error) {
	conn, err := Connect(ctx, entry, pool, "checker")
	if err != nil {
		return nil, err
	}
	defer conn.Close(context.Background())
	return countRows(ctx, conn)
}

func countRows(ctx context.Context, conn *pgx.Conn) (map[string]int, error) {
	rows, err := conn.Query(ctx, "SELECT id FROM bookings")
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	stored := make(map[string]int)
	for rows.Next() {
		var id string
		if err := rows.Scan(&id); err != nil {
			return nil, err
		}
		stored[id]++
	}
	return stored, rows.Err()
}
