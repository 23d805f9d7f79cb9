/**
 * Command-line tools for operators. They access the platform and the origin directly and
 * need no running wisteriapost process.
 */
package org.wisteriapost.operator;
