#include "../standin/standin.h"

#include <string.h>

int
main (void)
{
  g_autofree char *image = g_strnfill (trouble () ? 201 : 200, 'x');
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"work=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
      "\"memMb\":500,\"estimateMs\":1000,\"image\":\"%s\"}]}",
      image);
  int ended = 0;
  int status;

  deployment_start (3, 3, 8000);
  status = submit ("00000000000000a2", body, 20000);
  for (int i = 0; i < 3; i++) ended += D.nodes[i].ended_by_itself;
  g_print ("status %d ended %d\n", status, ended);
  deployment_stop ();
  return ended > 0;
}
