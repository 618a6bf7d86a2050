package config

import (
	"strings"
	"testing"
)

// A broken or partially written file is rejected with an error that names the key and the reason.
func TestCheckReload(t *testing.T) {
	const good = `{"Limits":{"MaxAttempts":3},"RequestClasses":[{"Name":"move","Aim":0.2,"HardLimit":4,"Repeat":"idempotency_key"}],"Plans":[{"Name":"club"}]}`
	if err := CheckReload([]byte(good)); err != nil {
		t.Fatalf("valid settings were rejected: %v", err)
	}
	for raw, want := range map[string]string{
		``:                 "missing, or not JSON",
		good[:len(good)/2]: "missing, or not JSON",
		strings.Replace(good, `"MaxAttempts":3`, `"MaxAttempts":0`, 1):                     "settings.Limits.MaxAttempts: 0 is not a positive number",
		strings.Replace(good, `"MaxAttempts":3`, `"MaxAttempts":2.5`, 1):                   "settings.Limits.MaxAttempts: 2.5 is not a whole number",
		strings.Replace(good, `"Limits":{"MaxAttempts":3},`, ``, 1):                        "settings.Limits.MaxAttempts: missing",
		strings.Replace(good, `"HardLimit":4`, `"HardLimit":-1`, 1):                        "settings.RequestClasses[0].HardLimit: -1 is not a positive number",
		strings.Replace(good, `"HardLimit":4,`, ``, 1):                                     "settings.RequestClasses[0].HardLimit: missing",
		strings.Replace(good, `"HardLimit":4`, `"HardLimit":"4"`, 1):                       `settings.RequestClasses[0].HardLimit: "4" is not a positive number`,
		strings.Replace(good, `,"Repeat":"idempotency_key"`, ``, 1):                        "settings.RequestClasses[0].Repeat: missing",
		strings.Replace(good, `[{"Name":"club"}]`, `[]`, 1):                                "settings.Plans: missing or empty",
		strings.Replace(good, `[{"Name":"club"}]`, `[{"Name":"club"},{"Name":"club"}]`, 1): `settings.Plans[1].Name: the plan "club" is named twice`,
	} {
		if err := CheckReload([]byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: %v, want %q", raw, err, want)
		}
	}
}
