package front

import (
	"strings"
	"testing"
)

// A class name that cannot stand unescaped in a request line is rejected with the reason; every other name is found.
func TestCheckClassNames(t *testing.T) {
	for name, want := range map[string]string{
		"move-submit": "", "Größe": "", "答え": "", "a%41": "", "a+b": "", "a:b;c=d": "", "a#b": "",
		"gold rush": "malformed HTTP version", "a\tb": "invalid control character", "a\r\nb": "malformed HTTP", "50%": "invalid URL escape",
		"a/b": "no such class", "a?b": "no such class",
	} {
		err := CheckClassNames([]string{"first", name, "last"})
		if want == "" && err != nil {
			t.Errorf("%q: %v", name, err)
		}
		if want != "" && (err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "the class name")) {
			t.Errorf("%q: %v, want %q", name, err, want)
		}
	}
	if err := CheckClassNames([]string{"dropped", "", "kept"}); err != nil {
		t.Errorf("names with an empty entry: %v", err)
	}
}
