package database

import "strings"

func showColumns(p *parsedStatement) []column {
	name := "setting"
	if len(p.tokens) > 1 {
		name = strings.ToLower(p.tokens[1].text)
	}
	return textColumns(name)
}

// show runs SHOW. Settings other than the listed ones have an empty value.
func (c *session) show(p *parsedStatement) result {
	columns := showColumns(p)
	value := ""
	switch columns[0].name {
	case "server_version":
		value = serverVersion
	case "transaction_read_only":
		value = "off"
		if c.ep.checkWritable(c.ep.status().AppointedTerm) != nil {
			value = "on"
		}
	}
	return result{columns: columns, rows: [][]any{{value}}, tag: "SHOW"}
}
