/* Turns off leak detection for stand-ins and tools, which leave their memory to the end of the
 * process. Only the router itself must free everything. */
const char *__asan_default_options(void);

const char *__asan_default_options(void)
{
	return "detect_leaks=0";
}
