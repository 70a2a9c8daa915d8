package settings

import (
	stderrors "errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// item is one key of a file with its value as it is written.
type item struct {
	key  string
	line int
	kind unstable.Kind
	// text is the value of a scalar.
	text string
	// list holds the elements of an array of strings.
	list []string
	// allStrings is false if an array has an element that is not a string.
	allStrings bool
}

// document is a parsed file.
type document struct {
	file  string
	items []item
	// tables maps each stated table to its line.
	tables map[string]int
}

// line returns where key is stated, zero if it is not.
func (d *document) line(key string) int {
	for _, it := range d.items {
		if it.key == key {
			return it.line
		}
	}
	return 0
}

// readDocument returns nil after a fault of the syntax, which hides the rest.
func readDocument(file string, data []byte, problems *Problems) *document {
	var ignored map[string]any
	if err := toml.Unmarshal(data, &ignored); err != nil {
		addSyntaxProblem(file, err, problems)
		return nil
	}
	doc := &document{file: file, tables: map[string]int{}}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		node := p.Expression()
		switch node.Kind {
		case unstable.Table:
			table = joinKey("", node.Key())
			doc.tables[table] = lineOfKey(&p, node)
		case unstable.ArrayTable:
			table = joinKey("", node.Key())
			problems.add(file, lineOfKey(&p, node), table, "unknown list of tables")
		case unstable.KeyValue:
			doc.addKeyValue(&p, table, node)
		}
	}
	return doc
}

func addSyntaxProblem(file string, err error, problems *Problems) {
	var syntax *toml.DecodeError
	if !stderrors.As(err, &syntax) {
		problems.add(file, 0, "", "%v", err)
		return
	}
	line, _ := syntax.Position()
	problems.add(file, line, strings.Join(syntax.Key(), "."), "%s", syntax.Error())
}

func (d *document) addKeyValue(p *unstable.Parser, table string, node *unstable.Node) {
	key := joinKey(table, node.Key())
	value := node.Value()
	if value.Kind == unstable.InlineTable {
		for it := value.Children(); it.Next(); {
			d.addKeyValue(p, key, it.Node())
		}
		return
	}
	it := item{key: key, line: lineOfKey(p, node), kind: value.Kind, text: string(value.Data)}
	if value.Kind == unstable.Array {
		it.list, it.allStrings = stringElements(value)
	}
	d.items = append(d.items, it)
}

func stringElements(array *unstable.Node) (list []string, all bool) {
	all = true
	for it := array.Children(); it.Next(); {
		if it.Node().Kind != unstable.String {
			all = false
		}
		list = append(list, string(it.Node().Data))
	}
	return list, all
}

func joinKey(table string, key unstable.Iterator) string {
	for key.Next() {
		if table != "" {
			table += "."
		}
		table += string(key.Node().Data)
	}
	return table
}

func lineOfKey(p *unstable.Parser, node *unstable.Node) int {
	key := node.Key()
	if !key.Next() {
		return 0
	}
	return p.Shape(key.Node().Raw).Start.Line
}
