package store

import (
	"context"
	"database/sql"
	"errors"
	"net/url"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"
	"modernc.org/sqlite"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

const (
	// maxReadConnections limits the number of concurrent reads.
	maxReadConnections = 64
	logTable           = "group_log"

	schema = `
CREATE TABLE IF NOT EXISTS ` + logTable + ` (
	idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS ` + target.RequestsTable + ` (
	customer TEXT NOT NULL, key TEXT NOT NULL, fingerprint TEXT NOT NULL,
	outcome TEXT NOT NULL, PRIMARY KEY (customer, key));`
)

// Column describes a column of a result.
type Column struct {
	Name string
	// DeclaredType is the type in the table's declaration, in capitals. It is empty for an
	// expression.
	DeclaredType string
}

// Result is the result of a statement. The values in Rows are nil, int64, float64, string,
// []byte, bool or time.Time. Affected is the number of rows that were returned or changed.
type Result struct {
	Columns  []Column
	Rows     [][]any
	Affected int64
}

// database is an open SQLite file. It has one connection that writes, which is used under
// the store's writer lock, and a pool of read-only connections.
type database struct {
	path      string
	writePool *sql.DB
	writeConn *sql.Conn
	readPool  *sql.DB
}

// openDatabase opens the SQLite file at path and creates it with its tables if needed.
func openDatabase(path string) (*database, error) {
	d := &database{path: path}
	var err error
	if d.writePool, err = openPool(path, false); err != nil {
		return nil, err
	}
	if d.writeConn, err = d.writePool.Conn(context.Background()); err != nil {
		return nil, errs.Combine(err, d.writePool.Close())
	}
	if _, err = d.writeConn.ExecContext(context.Background(), schema); err != nil {
		return nil, errs.Combine(err, d.close())
	}
	if d.readPool, err = openPool(path, true); err != nil {
		return nil, errs.Combine(err, d.close())
	}
	d.readPool.SetMaxOpenConns(maxReadConnections)
	d.readPool.SetMaxIdleConns(maxReadConnections)
	return d, nil
}

func openPool(path string, readOnly bool) (*sql.DB, error) {
	query := url.Values{"_pragma": {"busy_timeout(5000)", "journal_mode(WAL)", "synchronous(OFF)"}}
	if readOnly {
		query.Add("_pragma", "query_only(1)")
	}
	db, err := sql.Open("sqlite", "file:"+path+"?"+query.Encode())
	return db, errs.Wrap(err)
}

func (d *database) close() error {
	var group errs.Group
	if d.readPool != nil {
		group.Add(d.readPool.Close())
	}
	group.Add(d.writeConn.Close(), d.writePool.Close())
	return group.Err()
}

// remove closes the database and deletes its files.
func (d *database) remove() error {
	var group errs.Group
	group.Add(d.close())
	matches, err := filepath.Glob(d.path + "*")
	group.Add(err)
	for _, path := range matches {
		group.Add(os.Remove(path))
	}
	return group.Err()
}

// lastPosition returns the position of the log's last entry, or the zero position if the log
// is empty.
func (d *database) lastPosition() (logpos.Position, error) {
	var p logpos.Position
	row := d.writeConn.QueryRowContext(context.Background(),
		"SELECT term, idx FROM "+logTable+" ORDER BY idx DESC LIMIT 1")
	err := row.Scan(&p.Term, &p.Index)
	if errors.Is(err, sql.ErrNoRows) {
		return logpos.Position{}, nil
	}
	return p, errs.Wrap(err)
}

// exec runs a statement on the writing connection and returns the number of affected rows.
func (d *database) exec(text string, args ...any) (n int64, err error) {
	result, err := d.writeConn.ExecContext(context.Background(), text, args...)
	if err != nil {
		return 0, err
	}
	// For a text in which SQLite finds no statement, such as a lone byte order mark, the
	// driver returns a nil result, on which RowsAffected panics.
	defer func() {
		if recover() != nil {
			err = Errorf("42601", "no statement")
		}
	}()
	return result.RowsAffected()
}

// querier is implemented by *sql.DB and *sql.Conn.
type querier interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
}

// query runs a statement that returns rows and reads all of them.
func query(q querier, text string, args []any) (*Result, error) {
	rows, err := q.QueryContext(context.Background(), text, args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	result := &Result{Columns: make([]Column, len(types))}
	for i, t := range types {
		result.Columns[i] = Column{Name: t.Name(), DeclaredType: t.DatabaseTypeName()}
	}
	for rows.Next() {
		row, err := scanRow(rows, len(types))
		if err != nil {
			return nil, err
		}
		result.Rows = append(result.Rows, row)
	}
	result.Affected = int64(len(result.Rows))
	return result, rows.Err()
}

func scanRow(rows *sql.Rows, n int) ([]any, error) {
	row := make([]any, n)
	pointers := make([]any, n)
	for i := range row {
		pointers[i] = &row[i]
	}
	return row, rows.Scan(pointers...)
}

// describe returns the result columns of a statement without running it.
func (d *database) describe(ctx context.Context, text string) ([]Column, error) {
	conn, err := d.readPool.Conn(ctx)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return describe(conn, text)
}

func describe(conn *sql.Conn, text string) ([]Column, error) {
	var columns []Column
	err := conn.Raw(func(raw any) error {
		info, err := raw.(columnInformer).ColumnInfo(text)
		for _, c := range info {
			columns = append(columns, Column{Name: c.Name, DeclaredType: c.DeclType})
		}
		return err
	})
	return columns, err
}

// columnInformer is implemented by the SQLite driver's connections.
type columnInformer interface {
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}
